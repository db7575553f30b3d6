// Servers that ask gateways for rest, or say in their answers that they are leaving.
#include "Tests/gateway_processes/gateway_fleet.hpp"
#include "Tests/gateway_processes/steady_load.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace carawayway::gateway_processes {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds rest{3000};
// Of eight; the other ones are full, so that the load would go to those that rest.
constexpr std::size_t resting_servers = 6;
// From the first answer that says so until a leaving server gets nothing more.
constexpr milliseconds time_to_leave{2500};

// Guards against gateways that do not read for how long a server wants nothing from them.
TEST(rest_test, servers_that_ask_for_rest_get_it) {
    gateway_fleet fleet(gateway_fleet::crashing_booking);
    const auto servers = fleet.server_ids();
    const steady_load load(fleet);
    std::this_thread::sleep_for(seconds{1});
    for (std::size_t server = 0; server < resting_servers; ++server) {
        fleet.ask_for_rest(servers[server], rest);
    }
    std::this_thread::sleep_for(rest * 2 + seconds{1});
    EXPECT_LE(fleet.most_arrivals_within_rest(), soak::permitted_within_rest);
}

// Guards against servers that get nothing more although their rest has ended.
TEST(rest_test, a_server_gets_requests_again_after_its_rest) {
    gateway_fleet fleet(gateway_fleet::crashing_booking);
    const auto server = fleet.server_ids().front();
    const steady_load load(fleet);
    fleet.ask_for_rest(server, milliseconds{1000});
    std::this_thread::sleep_for(seconds{1});
    fleet.ask_for_rest(server, std::nullopt);
    const auto ended_at = soak::clock::now();
    EXPECT_TRUE(test_support::wait_until([&] {
        const auto arrivals = fleet.traffic().arrivals;
        return std::count_if(arrivals.begin(), arrivals.end(), [&](const soak::arrival& item) {
                   return item.server == server && item.at > ended_at;
               }) > 20;
    }));
}

// Guards against callers that are held, or sent to servers that want nothing, when all servers rest.
TEST(rest_test, callers_are_refused_with_retry_after_while_all_servers_rest) {
    gateway_fleet fleet(gateway_fleet::crashing_booking);
    for (const auto& server : fleet.server_ids()) {
        fleet.ask_for_rest(server, rest);
    }
    {
        const steady_load load(fleet);
        std::this_thread::sleep_for(rest - seconds{1});
    }
    EXPECT_EQ(fleet.send(0, "POST", "/book/1"), (answer{503, true}));
    EXPECT_LE(fleet.most_arrivals_within_rest(), soak::permitted_within_rest);
    EXPECT_TRUE(fleet.has_logged(0, "kind=servers-resting"));
    EXPECT_EQ(fleet.executed_refused_bookings(), 0U);
}

// Guards against gateways that send to a leaving server until the store tells them.
TEST(rest_test, a_server_that_says_it_is_leaving_gets_no_new_requests) {
    gateway_fleet fleet(gateway_fleet::crashing_booking);
    const auto server = fleet.server_ids().front();
    const steady_load load(fleet);
    std::this_thread::sleep_for(seconds{1});
    fleet.say_leaving(server);
    const auto said_at = soak::clock::now();
    std::this_thread::sleep_for(time_to_leave + seconds{2});
    const auto arrivals = fleet.traffic().arrivals;
    const auto late = std::count_if(arrivals.begin(), arrivals.end(), [&](const soak::arrival& item) {
        return item.server == server && item.at > said_at + time_to_leave;
    });
    EXPECT_EQ(late, 0);
}

// Guards against a gateway that forgets what a server has told its callers through another gateway.
TEST(rest_test, a_gateway_learns_from_relayed_answers_that_a_server_is_leaving) {
    gateway_fleet fleet(gateway_fleet::crashing_booking, soak::server_stand_in::end_kind::reset_connections,
                        gateway_fleet::default_gateway_count, {0});
    const auto server = fleet.server_ids().front();
    fleet.set_link_fault(soak::link_fault::reset);
    std::size_t sent = 0;
    const auto send = [&] {
        const auto object = std::to_string(sent++);
        return fleet.send(0, "GET", "/read/" + object, object).status;
    };
    EXPECT_TRUE(test_support::wait_until([&] {
        send();
        return fleet.has_logged(0, "event=servers-unreachable");
    }));
    fleet.say_leaving(server);
    EXPECT_TRUE(test_support::wait_until([&] {
        send();
        return fleet.has_logged(0, "event=server-leaving-named server=" + server);
    }));
    fleet.set_link_fault(soak::link_fault::none);
    EXPECT_TRUE(test_support::wait_until([&] { return fleet.has_logged(0, "event=servers-reachable"); }));
    std::this_thread::sleep_for(time_to_leave);
    const auto from = soak::clock::now();
    for (int request = 0; request < 100; ++request) {
        EXPECT_EQ(send(), 200U);
    }
    const auto arrivals = fleet.traffic().arrivals;
    EXPECT_EQ(
        std::count_if(arrivals.begin(), arrivals.end(),
                      [&](const soak::arrival& item) { return item.server == server && item.at > from; }),
        0);
}

} // namespace
} // namespace carawayway::gateway_processes
