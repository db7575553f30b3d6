// Gateway processes while the store comes back from an older copy.
#include "Tests/gateway_processes/gateway_fleet.hpp"

#include <gtest/gtest.h>

namespace carawayway::gateway_processes {
namespace {

constexpr std::chrono::milliseconds copy_age{2000};

bool all_log(const gateway_fleet& fleet, const std::string& text) {
    for (std::size_t gateway = 0; gateway < fleet.gateway_count(); ++gateway) {
        if (!test_support::wait_until([&] { return fleet.has_logged(gateway, text); })) {
            return false;
        }
    }
    return true;
}

// Guards against gateways that ignore what is written after a restore, because the store gives out revisions
// again that they know already.
TEST(store_restore_test, changes_after_a_restore_reach_all_gateways) {
    gateway_fleet fleet(gateway_fleet::crashing_booking);
    std::this_thread::sleep_for(copy_age);
    for (int server = 0; server < 20; ++server) {
        fleet.start_server(); // raises the revision that the gateways know
    }
    const auto known = fleet.start_server();
    EXPECT_TRUE(all_log(fleet, "event=server-registered server=" + known + " "));
    for (int restore = 0; restore < 2; ++restore) {
        fleet.restore_store(copy_age);
        const auto added = fleet.start_server();
        EXPECT_TRUE(all_log(fleet, "event=server-registered server=" + added + " "));
    }
    EXPECT_TRUE(all_log(fleet, "event=store-restore-settled"));
    for (std::size_t gateway = 0; gateway < fleet.gateway_count(); ++gateway) {
        EXPECT_FALSE(fleet.has_logged(gateway, "event=server-gone")) << "gateway " << gateway;
        EXPECT_EQ(fleet.send(gateway, "GET", "/read/1").status, 200U) << "gateway " << gateway;
    }
}

// Guards against registrations and quarantines that stay lost.
TEST(store_restore_test, gateways_write_again_what_a_restore_has_lost) {
    gateway_fleet fleet(gateway_fleet::crashing_booking);
    std::this_thread::sleep_for(copy_age);
    const std::string path = std::string(gateway_fleet::crashing_booking) + "7";
    for (int resend = 0; resend < 3; ++resend) {
        fleet.send(0, "POST", path);
    }
    const auto has_all_keys = [&] {
        return fleet.store_keys("carawayway/quarantine/") == 1 &&
               fleet.store_keys("carawayway/gateway") == fleet.gateway_count();
    };
    EXPECT_TRUE(test_support::wait_until(has_all_keys));
    fleet.restore_store(std::chrono::minutes{1}); // the oldest copy
    EXPECT_FALSE(has_all_keys());
    EXPECT_TRUE(test_support::wait_until(has_all_keys));
}

} // namespace
} // namespace carawayway::gateway_processes
