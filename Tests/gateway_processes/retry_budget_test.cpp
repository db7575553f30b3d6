// Retries of many gateway processes together, while they cannot see each other in the store.
#include "Tests/gateway_processes/gateway_fleet.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace carawayway::gateway_processes {
namespace {

// Sends this many look-ups to each gateway, one after the other, and to all gateways at the same time.
void send_to_all(gateway_fleet& fleet, std::size_t requests_each) {
    std::vector<std::thread> senders;
    for (std::size_t gateway = 0; gateway < fleet.gateway_count(); ++gateway) {
        senders.emplace_back([&fleet, gateway, requests_each] {
            for (std::size_t request = 0; request < requests_each; ++request) {
                fleet.send(gateway, "GET", "/read/" + std::to_string(request));
            }
        });
    }
    for (auto& sender : senders) {
        sender.join();
    }
}

// Guards against retries above the limit of the deployment when gateways lose sight of each other, take
// larger shares and spend at once what they have earned long before.
TEST(retry_budget_test, gateways_that_lose_sight_of_each_other_keep_the_limit_together) {
    constexpr std::size_t gateways = 10;
    constexpr std::size_t earning_requests = 70;
    constexpr std::size_t failing_requests = 10;
    gateway_fleet fleet(gateway_fleet::crashing_booking, soak::server_stand_in::end_kind::reset_connections,
                        gateways);
    fleet.set_store_fault(soak::store_fault::writes_rejected);
    fleet.wait_until_gateways_are_forgotten();
    send_to_all(fleet, earning_requests);
    // Requests older than two windows do not count for the limit.
    std::this_thread::sleep_for(2 * gateway_fleet::retry_limit.window);
    fleet.set_server_fault(soak::server_fault::load_shedding);
    send_to_all(fleet, failing_requests);
    EXPECT_EQ(soak::find_retry_excess(gateway_fleet::retry_limit, fleet.traffic()), std::nullopt);
}

} // namespace
} // namespace carawayway::gateway_processes
