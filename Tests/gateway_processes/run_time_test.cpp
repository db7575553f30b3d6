// Requests that gateway processes refuse because they expect them to take too long.
#include "Tests/gateway_processes/gateway_fleet.hpp"

#include <gtest/gtest.h>

namespace carawayway::gateway_processes {
namespace {

constexpr const char* time_header = "Deadline-Ms";
// Between the run times of the servers when they are slow, 260 ms on average, and otherwise, 60 ms at most.
constexpr const char* time_left_ms = "150";
constexpr int requests_while_slow = 24;
constexpr int requests_afterwards = 20;

answer send_in_time(gateway_fleet& fleet, const std::string& path) {
    auto request = fleet.make_request(0, "GET", path, gateway_fleet::usual_object);
    request.set(time_header, time_left_ms);
    return fleet.send_request(0, request);
}

// Sends requests while the servers are slow, and `path` when they are not any more.
void expect_is_served_after_slow_requests(const std::string& path) {
    gateway_fleet fleet(gateway_fleet::crashing_lookup, soak::server_stand_in::end_kind::reset_connections,
                        1);
    fleet.set_server_fault(soak::server_fault::slow);
    for (int request = 0; request < requests_while_slow; ++request) {
        EXPECT_EQ(fleet.send(0, "GET", "/read/" + std::to_string(request)).status, 200U);
    }
    fleet.set_server_fault(soak::server_fault::none);
    fleet.add_route("/new/");
    EXPECT_TRUE(test_support::wait_until([&] { return send_in_time(fleet, path).status == 200; }));
    int served = 0;
    for (int request = 0; request < requests_afterwards; ++request) {
        served += send_in_time(fleet, path).status == 200 ? 1 : 0;
    }
    EXPECT_GE(served, requests_afterwards / 2);
}

// Guards against a route that is added to a service with longer requests and refused for good, since nothing
// is learned of requests that are not sent.
TEST(run_time_test, a_route_that_is_added_to_a_service_with_longer_requests_is_served) {
    expect_is_served_after_slow_requests("/new/1");
}

// Guards against a route that stays refused when its servers are no longer slow.
TEST(run_time_test, a_route_is_served_again_when_its_servers_are_no_longer_slow) {
    expect_is_served_after_slow_requests("/read/1");
}

} // namespace
} // namespace carawayway::gateway_processes
