// Answers of servers in trouble whose bodies never end.
#include "Tests/gateway_processes/gateway_fleet.hpp"

#include <gtest/gtest.h>

namespace carawayway::gateway_processes {
namespace {

// Memory of the smallest machine that runs a gateway.
constexpr std::size_t machine_memory_bytes = 160U << 20U;
constexpr std::size_t concurrent_requests = 24;

void expect_memory_suffices(soak::server_fault fault) {
    gateway_fleet fleet(gateway_fleet::crashing_booking, soak::server_stand_in::end_kind::reset_connections,
                        1);
    fleet.set_server_fault(fault);
    std::vector<std::thread> senders;
    for (std::size_t request = 0; request < concurrent_requests; ++request) {
        senders.emplace_back([&fleet, request] {
            const auto object = std::to_string(request);
            EXPECT_GE(fleet.send(0, "POST", "/book/" + object, object).status, 500U);
        });
    }
    for (auto& sender : senders) {
        sender.join();
    }
    const auto peak = fleet.peak_memory_bytes(0);
    testing::Test::RecordProperty("peak_mib", static_cast<int>(peak >> 20U));
    EXPECT_GT(peak, 0U);
    EXPECT_LT(peak, machine_memory_bytes);
    fleet.set_server_fault(soak::server_fault::none);
    EXPECT_TRUE(test_support::wait_until([&fleet] { return fleet.send(0, "GET", "/read/1").status == 200; }));
}

// Guards against a gateway that is killed because it buffers the bodies of many such answers at once.
TEST(endless_answer_test, many_answers_without_end_do_not_exhaust_the_memory_of_a_gateway) {
    expect_memory_suffices(soak::server_fault::endless_answer);
}

// Guards against the same by trailers, which are no part of the body.
TEST(endless_answer_test, many_trailers_without_end_do_not_exhaust_the_memory_of_a_gateway) {
    expect_memory_suffices(soak::server_fault::endless_trailer);
}

} // namespace
} // namespace carawayway::gateway_processes
