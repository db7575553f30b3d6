// Rejections that servers repeat on a kept connection.
#include "Tests/gateway_processes/gateway_fleet.hpp"

#include <gtest/gtest.h>

#include <atomic>

namespace carawayway::gateway_processes {
namespace {

constexpr std::size_t senders_per_gateway = 6;
constexpr std::size_t bookings_per_sender = 60;

// Sends bookings for many objects to all gateways at the same time. Returns how many were executed well.
std::size_t send_bookings(gateway_fleet& fleet) {
    std::atomic<std::size_t> good = 0;
    std::vector<std::thread> senders;
    for (std::size_t sender = 0; sender < fleet.gateway_count() * senders_per_gateway; ++sender) {
        senders.emplace_back([&fleet, &good, sender] {
            for (std::size_t booking = 0; booking < bookings_per_sender; ++booking) {
                const auto object = std::to_string(sender * bookings_per_sender + booking);
                const auto status =
                    fleet.send(sender % fleet.gateway_count(), "POST", "/book/" + object, object).status;
                good += status == 200 ? 1 : 0;
            }
        });
    }
    for (auto& sender : senders) {
        sender.join();
    }
    return good;
}

// Guards against telling callers that a booking was not executed, or sending it to a second server, because
// an earlier rejection comes once more.
TEST(refusal_test, rejections_that_servers_repeat_belong_to_no_other_booking) {
    gateway_fleet fleet(gateway_fleet::crashing_booking, soak::server_stand_in::end_kind::reset_connections,
                        2);
    fleet.set_server_fault(soak::server_fault::repeated_refusals);
    const auto good = send_bookings(fleet);
    RecordProperty("good", static_cast<int>(good));
    RecordProperty("repeated", static_cast<int>(fleet.repeated_refusals()));
    EXPECT_GT(good, 0U);
    EXPECT_GT(fleet.repeated_refusals(), 0U);
    EXPECT_EQ(fleet.most_executions_of_bookings(), 1U);
    EXPECT_EQ(fleet.executed_refused_bookings(), 0U);
}

// Guards against a status that promises callers that a booking was not executed, without the server's word.
TEST(refusal_test, the_status_of_a_rejection_alone_does_not_reach_callers) {
    gateway_fleet fleet(gateway_fleet::crashing_booking, soak::server_stand_in::end_kind::reset_connections,
                        1);
    fleet.set_server_fault(soak::server_fault::unmarked_refusals);
    for (int booking = 0; booking < 12; ++booking) {
        const auto object = std::to_string(booking);
        fleet.send(0, "POST", "/book/" + object, object);
    }
    EXPECT_EQ(fleet.most_executions_of_bookings(), 1U);
    EXPECT_EQ(fleet.executed_refused_bookings(), 0U);
}

} // namespace
} // namespace carawayway::gateway_processes
