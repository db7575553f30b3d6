// A planned stop of a gateway while callers go on sending.
#include "Tests/gateway_processes/gateway_fleet.hpp"
#include "Tests/gateway_processes/pipelining_caller.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <string>
#include <thread>
#include <vector>

namespace carawayway::gateway_processes {
namespace {

constexpr std::size_t stopped_gateway = 0;
constexpr std::size_t callers = 16;
constexpr std::chrono::milliseconds pipelining_interval{30}; // shorter than servers take

// Guards against requests on new connections that are closed unread, because the listener closes while they
// wait to be accepted or their sessions count as idle.
TEST(stop_test, requests_that_were_accepted_during_a_stop_are_answered) {
    gateway_fleet fleet(gateway_fleet::crashing_booking);
    std::atomic<std::size_t> answered = 0;
    std::atomic<std::size_t> cut = 0;
    std::vector<std::thread> senders;
    for (std::size_t caller = 0; caller < callers; ++caller) {
        senders.emplace_back([&, caller] {
            answer last{0, false, true};
            for (std::size_t request = 0; last.was_connected; ++request) {
                const auto object = std::to_string(caller * 100 + request % 5);
                const bool is_lookup = request % 2 == 0;
                last = fleet.send(stopped_gateway, is_lookup ? "GET" : "POST",
                                  (is_lookup ? "/read/" : "/book/") + object, object);
                answered += last.status != 0 ? 1 : 0;
                cut += last.status == 0 && last.was_connected ? 1 : 0;
            }
        });
    }
    EXPECT_EQ(fleet.stop_gateway(stopped_gateway), 0);
    for (auto& sender : senders) {
        sender.join();
    }
    EXPECT_GT(answered, callers);
    EXPECT_EQ(cut, 0U) << "of " << answered;
    EXPECT_LE(fleet.most_executions_of_bookings(), 1U);
    EXPECT_EQ(fleet.executed_refused_bookings(), 0U);
}

// Guards against look-ups that a stopping gateway goes on taking from a connection that always has one in
// progress, and that are cut off when the process ends.
TEST(stop_test, pipelined_requests_that_servers_got_are_answered) {
    gateway_fleet fleet(gateway_fleet::crashing_booking);
    fleet.set_server_fault(soak::server_fault::slow);
    std::vector<std::future<pipelined_requests>> connections;
    for (std::size_t caller = 0; caller < callers; ++caller) {
        connections.push_back(std::async(std::launch::async, [&fleet, caller] {
            return send_until_closed(fleet, stopped_gateway, pipelining_interval,
                                     "/read/" + std::to_string(caller) + "/");
        }));
    }
    std::this_thread::sleep_for(std::chrono::seconds{1});
    EXPECT_EQ(fleet.stop_gateway(stopped_gateway), 0);
    for (auto& connection : connections) {
        const auto requests = connection.get();
        EXPECT_GT(requests.answered, 0U);
        EXPECT_TRUE(requests.was_close_announced);
        EXPECT_EQ(fleet.executed_of(requests.unanswered), 0U) << "of " << requests.unanswered.size();
    }
}

// Guards against requests that are taken so late in a stop that they cannot end before the process does, and
// whose connections are closed without a response.
TEST(stop_test, requests_that_servers_do_not_answer_end_before_the_process) {
    // Requests are still taken then, and the timeout of the routes is longer than what is left of the grace
    // time.
    constexpr std::chrono::milliseconds late_in_the_stop{2650};
    gateway_fleet fleet(gateway_fleet::crashing_booking);
    fleet.begin_stop(stopped_gateway);
    std::this_thread::sleep_for(late_in_the_stop);
    fleet.set_server_fault(soak::server_fault::hang_after_execution);
    std::vector<std::future<answer>> answers;
    for (std::size_t caller = 0; caller < callers; ++caller) {
        answers.push_back(std::async(std::launch::async, [&fleet, caller] {
            const auto object = std::to_string(caller);
            const bool is_lookup = caller % 2 == 0;
            return fleet.send(stopped_gateway, is_lookup ? "GET" : "POST",
                              (is_lookup ? "/read/" : "/book/") + object, object);
        }));
    }
    for (auto& item : answers) {
        const auto received = item.get();
        EXPECT_TRUE(received.was_connected);
        EXPECT_THAT(received.status, testing::AnyOf(503U, 504U));
    }
    EXPECT_EQ(fleet.wait_for_end(stopped_gateway), 0);
    EXPECT_EQ(fleet.most_executions_of_bookings(), 1U) << "none was taken, or one was executed twice";
    EXPECT_EQ(fleet.executed_refused_bookings(), 0U);
}

} // namespace
} // namespace carawayway::gateway_processes
