// Requests whose content crashes servers, sent to gateway processes again and again.
#include "Tests/gateway_processes/gateway_fleet.hpp"

#include <gtest/gtest.h>

namespace carawayway::gateway_processes {
namespace {

using std::chrono::milliseconds;

// After this many servers have ended, the content is known to be the cause.
constexpr std::size_t servers_until_known = 3;
// Time that the gateways have to learn of it from each other.
constexpr milliseconds time_to_learn{4000};
constexpr std::size_t permitted_retries = 3;

constexpr std::size_t resends = 16;
constexpr milliseconds resend_interval{200};

// Sends the content to one gateway after the other. Stops early when `enough` servers have ended.
void resend(gateway_fleet& fleet, const std::string& method, const std::string& path,
            std::size_t enough = SIZE_MAX) {
    for (std::size_t index = 0; index < resends && fleet.ended_servers() < enough; ++index) {
        fleet.send(index % fleet.gateway_count(), method, path);
        std::this_thread::sleep_for(resend_interval);
    }
}

void expect_few_servers_are_lost(const std::string& method, const std::string& prefix) {
    gateway_fleet fleet(prefix);
    const std::string path = prefix + "7";
    resend(fleet, method, path, servers_until_known);
    std::this_thread::sleep_for(time_to_learn);
    const auto ended_before = fleet.ended_servers();
    resend(fleet, method, path);
    EXPECT_LE(fleet.ended_servers() - ended_before, permitted_retries);
    for (std::size_t gateway = 0; gateway < fleet.gateway_count(); ++gateway) {
        EXPECT_EQ(fleet.send(gateway, method, path), (answer{503, true})) << "gateway " << gateway;
        EXPECT_EQ(fleet.send(gateway, "GET", "/read/other").status, 200U) << "gateway " << gateway;
    }
}

// Sends the content until all gateways refuse it.
void wait_until_refused_everywhere(gateway_fleet& fleet, const std::string& path) {
    for (std::size_t gateway = 0; gateway < fleet.gateway_count(); ++gateway) {
        EXPECT_TRUE(test_support::wait_until([&] {
            return fleet.send(gateway, "POST", path) == answer{503, true};
        })) << "gateway "
            << gateway;
    }
}

// Guards against a request that takes down one server after the other, because gateways do not remember which
// content crashed servers and take each resend for a new request.
TEST(crash_content_test, a_resent_lookup_that_crashes_servers_is_soon_kept_from_them) {
    expect_few_servers_are_lost("GET", gateway_fleet::crashing_lookup);
}

// The same for a request that the gateways themselves never send twice.
TEST(crash_content_test, a_resent_booking_that_crashes_servers_is_soon_kept_from_them) {
    expect_few_servers_are_lost("POST", gateway_fleet::crashing_booking);
}

// Guards against servers that lose power under a request: their connections stay open without a response.
TEST(crash_content_test, a_resent_booking_that_silences_servers_is_soon_kept_from_them) {
    gateway_fleet fleet(gateway_fleet::crashing_booking, soak::server_stand_in::end_kind::silence);
    const std::string path = std::string(gateway_fleet::crashing_booking) + "7";
    wait_until_refused_everywhere(fleet, path);
    EXPECT_LE(fleet.ended_servers(), servers_until_known + permitted_retries);
}

// Guards against gateways that have to lose servers again after all of them were restarted.
TEST(crash_content_test, gateways_that_start_later_know_content_that_crashes_servers) {
    gateway_fleet fleet(gateway_fleet::crashing_booking);
    const std::string path = std::string(gateway_fleet::crashing_booking) + "7";
    wait_until_refused_everywhere(fleet, path);
    EXPECT_TRUE(test_support::wait_until([&] { return fleet.store_keys("carawayway/quarantine/") == 1; }));
    const auto ended_before = fleet.ended_servers();
    fleet.restart_all_gateways();
    for (std::size_t gateway = 0; gateway < fleet.gateway_count(); ++gateway) {
        EXPECT_EQ(fleet.send(gateway, "POST", path), (answer{503, true})) << "gateway " << gateway;
    }
    EXPECT_EQ(fleet.ended_servers(), ended_before);
}

// Guards against gateways that learn of crashes only through the store.
TEST(crash_content_test, gateways_learn_of_crashes_from_each_other_while_the_store_is_down) {
    gateway_fleet fleet(gateway_fleet::crashing_booking);
    const std::string path = std::string(gateway_fleet::crashing_booking) + "7";
    fleet.set_store_fault(soak::store_fault::unavailable);
    for (std::size_t loss = 0; loss < servers_until_known; ++loss) {
        EXPECT_EQ(fleet.send(0, "POST", path).status, 502U);
    }
    for (std::size_t gateway = 0; gateway < fleet.gateway_count(); ++gateway) {
        EXPECT_TRUE(test_support::wait_until([&] {
            return fleet.has_logged(gateway, "event=content-quarantined");
        })) << gateway;
        EXPECT_EQ(fleet.send(gateway, "POST", path), (answer{503, true})) << "gateway " << gateway;
    }
    EXPECT_EQ(fleet.ended_servers(), servers_until_known);
}

// Guards against notices that go to nobody, because the registrations of all gateways have lapsed, so that
// each gateway has to lose servers by itself. The store does not take the quarantine either.
TEST(crash_content_test, gateways_that_lose_sight_of_each_other_learn_of_crashes) {
    gateway_fleet fleet(gateway_fleet::crashing_booking);
    const std::string path = std::string(gateway_fleet::crashing_booking) + "7";
    fleet.set_store_fault(soak::store_fault::writes_rejected);
    fleet.wait_until_gateways_are_forgotten();
    for (std::size_t gateway = 0; gateway < fleet.gateway_count(); ++gateway) {
        for (std::size_t resend = 0; resend < servers_until_known; ++resend) {
            fleet.send(gateway, "POST", path);
        }
        std::this_thread::sleep_for(time_to_learn);
    }
    EXPECT_LE(fleet.ended_servers(), servers_until_known + permitted_retries);
}

// Guards against harmless content that is quarantined because servers lose answers or connections.
TEST(crash_content_test, lost_answers_of_living_servers_quarantine_nothing) {
    gateway_fleet fleet(gateway_fleet::crashing_booking);
    fleet.set_server_fault(soak::server_fault::reset_after_execution);
    for (std::size_t request = 0; request < resends; ++request) {
        EXPECT_EQ(fleet.send(request % fleet.gateway_count(), "POST", "/book/9").status, 502U);
    }
    fleet.set_server_fault(soak::server_fault::none);
    for (std::size_t gateway = 0; gateway < fleet.gateway_count(); ++gateway) {
        EXPECT_EQ(fleet.send(gateway, "POST", "/book/9").status, 200U) << "gateway " << gateway;
    }
}

} // namespace
} // namespace carawayway::gateway_processes
