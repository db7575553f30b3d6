// Request rates of servers that name a limit, under requests from many gateway processes.
#include "Tests/gateway_processes/gateway_fleet.hpp"
#include "Tests/gateway_processes/steady_load.hpp"
#include "Tests/soak/rate_limit.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <thread>

namespace carawayway::gateway_processes {
namespace {

using std::chrono::seconds;

constexpr std::size_t gateways = 10;
constexpr double limit = 7.0;       // requests per second
constexpr double small_limit = 2.0; // requests per second

// Checks what the server got since it named the limit.
void expect_limit_is_kept(gateway_fleet& fleet, const std::string& server, double requests_per_second,
                          soak::clock::time_point named_at) {
    const soak::rate_limit_phase phase{server, requests_per_second, {named_at, soak::clock::now()}};
    const auto most = soak::most_arrivals(phase, fleet.traffic().arrivals);
    testing::Test::RecordProperty("most_at_" + server, static_cast<int>(most));
    EXPECT_LE(static_cast<double>(most), soak::allowed_arrivals(phase)) << server;
}

bool has_refused_for_limits(const gateway_fleet& fleet) {
    bool refused = false;
    for (std::size_t gateway = 0; gateway < fleet.gateway_count(); ++gateway) {
        refused = refused || fleet.has_logged(gateway, "kind=request-rate-limited");
    }
    return refused;
}

struct request_rates {
    double server = 0.0; // requests per second
    double others = 0.0; // the mean of all other servers
};

request_rates rates_since(gateway_fleet& fleet, const std::string& server, soak::clock::time_point from) {
    const double length = std::chrono::duration<double>(soak::clock::now() - from).count();
    std::size_t at_server = 0;
    std::size_t elsewhere = 0;
    for (const auto& arrival : fleet.traffic().arrivals) {
        if (arrival.at >= from) {
            ++(arrival.server == server ? at_server : elsewhere);
        }
    }
    const auto others = static_cast<double>(fleet.server_ids().size() - 1);
    return {static_cast<double>(at_server) / length, static_cast<double>(elsewhere) / others / length};
}

// Guards against gateways that do not read the limit that a server names, or that keep it each by itself.
TEST(rate_limit_test, a_server_gets_no_more_than_it_names_and_most_of_it) {
    gateway_fleet fleet(gateway_fleet::crashing_booking, soak::server_stand_in::end_kind::reset_connections,
                        gateways);
    const auto server = fleet.server_ids().front();
    const steady_load load(fleet);
    std::this_thread::sleep_for(seconds{1});
    fleet.name_request_limit({server}, limit);
    const auto named_at = soak::clock::now();
    std::this_thread::sleep_for(soak::time_to_keep_limit + seconds{7});
    expect_limit_is_kept(fleet, server, limit, named_at);
    const auto rates = rates_since(fleet, server, named_at + soak::time_to_keep_limit + seconds{1});
    RecordProperty("requests_per_second", std::to_string(rates.server));
    EXPECT_GE(rates.server, std::min(limit, rates.others) / 2);
    EXPECT_FALSE(has_refused_for_limits(fleet)) << "other servers have room";
}

// Guards against gateways that take the whole rate, or a large share of it, because they do not know the
// others.
TEST(rate_limit_test, gateways_that_lose_sight_of_each_other_keep_the_limit_together) {
    gateway_fleet fleet(gateway_fleet::crashing_booking, soak::server_stand_in::end_kind::reset_connections,
                        gateways);
    const auto server = fleet.server_ids().front();
    fleet.set_store_fault(soak::store_fault::writes_rejected);
    fleet.wait_until_gateways_are_forgotten();
    const steady_load load(fleet);
    fleet.name_request_limit({server}, limit);
    const auto named_at = soak::clock::now();
    std::this_thread::sleep_for(soak::time_to_keep_limit + seconds{4});
    expect_limit_is_kept(fleet, server, limit, named_at);
    EXPECT_FALSE(has_refused_for_limits(fleet)) << "other servers have room";
}

// Guards against a limit that outlives its naming, at gateways that no longer get answers of the server.
TEST(rate_limit_test, all_gateways_use_a_server_again_that_names_no_limit_any_more) {
    gateway_fleet fleet(gateway_fleet::crashing_booking, soak::server_stand_in::end_kind::reset_connections,
                        gateways);
    const auto servers = fleet.server_ids();
    const steady_load load(fleet);
    fleet.name_request_limit({servers.front()}, small_limit);
    std::this_thread::sleep_for(soak::time_to_keep_limit);
    fleet.name_request_limit({servers.front()}, std::nullopt);
    EXPECT_TRUE(test_support::wait_until([&] {
        const auto from = soak::clock::now();
        std::this_thread::sleep_for(seconds{1});
        const auto rates = rates_since(fleet, servers.front(), from);
        return rates.server >= rates.others / 2;
    }));
}

// Guards against requests that wait, or that are sent in spite of the limits, when all servers name one.
TEST(rate_limit_test, requests_beyond_the_limits_of_all_servers_are_refused_with_retry_after) {
    gateway_fleet fleet(gateway_fleet::crashing_booking, soak::server_stand_in::end_kind::reset_connections,
                        gateways);
    const auto servers = fleet.server_ids();
    fleet.name_request_limit(servers, small_limit);
    const auto named_at = soak::clock::now();
    {
        const steady_load load(fleet);
        std::this_thread::sleep_for(soak::time_to_keep_limit + seconds{5});
    }
    for (const auto& server : servers) {
        expect_limit_is_kept(fleet, server, small_limit, named_at);
        EXPECT_GE(rates_since(fleet, server, named_at).server, small_limit / 4) << server;
    }
    EXPECT_TRUE(has_refused_for_limits(fleet));
    bool refused = false;
    for (std::size_t request = 0; request < 200 && !refused; ++request) {
        const auto seen = fleet.send(request % gateways, "GET", "/read/" + std::to_string(request));
        refused = seen.status != 200;
        if (refused) {
            EXPECT_EQ(seen, (answer{503, true}));
        }
    }
    EXPECT_TRUE(refused);
}

} // namespace
} // namespace carawayway::gateway_processes
