// Gateways that are partitioned from all servers, while callers, the store and other gateways reach them.
#include "Tests/gateway_processes/gateway_fleet.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>
#include <vector>

namespace carawayway::gateway_processes {
namespace {

using std::chrono::milliseconds;

// Gateways 0 and 2 are of one failure domain, 1 and 3 of the other one.
const std::set<std::size_t> one_gateway_of_each_domain{0, 1};
const std::set<std::size_t> all_gateways_of_a_domain{0, 2};
const std::set<std::size_t> all_gateways{0, 1, 2, 3};

// From the beginning of a partition until callers must be served again.
constexpr milliseconds time_to_adapt{3000};

constexpr std::size_t requests_per_gateway = 80;
// Callers that send at once to a gateway need several connections to the same server.
constexpr std::size_t several_callers = 8;
// Objects that the requests are for, in turn.
constexpr std::size_t objects = 40;

// Requests that the gateways which are partitioned, and the others, have got and served.
struct service_counts {
    std::size_t sent = 0;
    std::size_t served = 0;

    double share() const { return static_cast<double>(served) / static_cast<double>(sent); }
};

struct traffic_result {
    service_counts partitioned;
    service_counts others;
};

// Sends look-ups and bookings to one gateway, one after the other, and returns how many were served.
std::size_t send_sequence(gateway_fleet& fleet, std::size_t gateway, std::size_t requests) {
    std::size_t served = 0;
    for (std::size_t request = 0; request < requests; ++request) {
        const auto object = std::to_string(request % objects);
        const bool is_lookup = request % 2 == 0;
        const auto answer = fleet.send(gateway, is_lookup ? "GET" : "POST",
                                       (is_lookup ? "/read/" : "/book/") + object, object);
        served += answer.status == 200 ? 1 : 0;
    }
    return served;
}

// Sends requests to all gateways, each from this many callers at once.
traffic_result send_to_all(gateway_fleet& fleet, const std::set<std::size_t>& partitioned,
                           std::size_t callers) {
    std::vector<std::atomic<std::size_t>> served(fleet.gateway_count());
    std::vector<std::thread> senders;
    for (std::size_t index = 0; index < callers * fleet.gateway_count(); ++index) {
        senders.emplace_back([&, gateway = index % fleet.gateway_count()] {
            served[gateway] += send_sequence(fleet, gateway, requests_per_gateway / callers);
        });
    }
    for (auto& sender : senders) {
        sender.join();
    }
    traffic_result result;
    for (std::size_t gateway = 0; gateway < fleet.gateway_count(); ++gateway) {
        auto& counts = partitioned.contains(gateway) ? result.partitioned : result.others;
        counts.sent += requests_per_gateway;
        counts.served += served[gateway];
    }
    return result;
}

// Sends requests to the partitioned gateways for as long as they have to adapt.
void send_while_adapting(gateway_fleet& fleet, const std::set<std::size_t>& partitioned) {
    const auto end = soak::clock::now() + time_to_adapt;
    std::vector<std::thread> senders;
    senders.reserve(partitioned.size());
    for (const auto gateway : partitioned) {
        senders.emplace_back([&fleet, gateway, end] {
            for (std::size_t request = 0; soak::clock::now() < end; ++request) {
                const auto object = std::to_string(request % objects);
                fleet.send(gateway, "GET", "/read/" + object, object);
            }
        });
    }
    for (auto& sender : senders) {
        sender.join();
    }
}

void expect_served_like_others(const traffic_result& result) {
    testing::Test::RecordProperty("served_at_partitioned", static_cast<int>(result.partitioned.served));
    testing::Test::RecordProperty("served_at_others", static_cast<int>(result.others.served));
    EXPECT_GE(result.partitioned.share(), result.others.share() * 2 / 3)
        << result.partitioned.served << " of " << result.partitioned.sent << ", at the others "
        << result.others.served << " of " << result.others.sent;
    const auto permitted = 10 + (result.partitioned.sent + result.others.sent) / 50;
    EXPECT_LE(result.partitioned.sent - result.partitioned.served, permitted);
}

class partition_test : public testing::Test {
protected:
    static void expect_callers_are_served(soak::link_fault fault, const std::set<std::size_t>& partitioned) {
        gateway_fleet fleet(gateway_fleet::crashing_booking,
                            soak::server_stand_in::end_kind::reset_connections,
                            gateway_fleet::default_gateway_count, partitioned);
        const auto before = send_to_all(fleet, partitioned, 1);
        EXPECT_EQ(before.partitioned.served, before.partitioned.sent);
        fleet.set_link_fault(fault);
        send_while_adapting(fleet, partitioned);
        expect_served_like_others(send_to_all(fleet, partitioned, several_callers));
        EXPECT_LE(fleet.most_executions_of_bookings(), 1U);
        EXPECT_EQ(fleet.executed_refused_bookings(), 0U);
    }

    // Cuts the links and waits until all gateways behind them know.
    static void partition(gateway_fleet& fleet, const std::set<std::size_t>& partitioned) {
        fleet.set_link_fault(soak::link_fault::reset);
        for (const auto gateway : partitioned) {
            EXPECT_TRUE(test_support::wait_until([&] {
                fleet.send(gateway, "GET", "/read/other");
                return fleet.has_logged(gateway, "event=servers-unreachable");
            })) << "gateway "
                << gateway;
        }
    }
};

// Guards against gateways that refuse requests because they reach no server, though other gateways do.
TEST_F(partition_test, callers_are_served_while_servers_reset_connections) {
    expect_callers_are_served(soak::link_fault::reset, one_gateway_of_each_domain);
}

// Guards against requests that wait for servers that never answer.
TEST_F(partition_test, callers_are_served_while_servers_do_not_answer) {
    expect_callers_are_served(soak::link_fault::hang, one_gateway_of_each_domain);
}

// Guards against gateways that take a few connections that live on for a sign that they reach the servers.
TEST_F(partition_test, callers_are_served_while_new_connections_to_servers_are_refused) {
    expect_callers_are_served(soak::link_fault::refuse_new, one_gateway_of_each_domain);
}

// Guards against gateways that know only those of their own failure domain as a way out.
TEST_F(partition_test, a_failure_domain_without_servers_is_served_through_the_other_one) {
    expect_callers_are_served(soak::link_fault::reset, all_gateways_of_a_domain);
}

// Guards against gateways that go on sending their requests through others.
TEST_F(partition_test, a_gateway_reaches_the_servers_by_itself_after_the_partition) {
    gateway_fleet fleet(gateway_fleet::crashing_booking, soak::server_stand_in::end_kind::reset_connections,
                        gateway_fleet::default_gateway_count, one_gateway_of_each_domain);
    partition(fleet, one_gateway_of_each_domain);
    fleet.set_link_fault(soak::link_fault::none);
    for (const auto gateway : one_gateway_of_each_domain) {
        EXPECT_TRUE(test_support::wait_until([&] {
            return fleet.has_logged(gateway, "event=servers-reachable");
        })) << "gateway "
            << gateway;
    }
    fleet.kill_gateway(2);
    fleet.kill_gateway(3);
    for (const auto gateway : one_gateway_of_each_domain) {
        EXPECT_EQ(send_sequence(fleet, gateway, objects), objects) << "gateway " << gateway;
    }
}

// Guards against bookings that run twice, or are said not to have run, when the gateway ends that sends them.
TEST_F(partition_test, bookings_run_at_most_once_while_the_gateways_end_that_relay_them) {
    const std::set<std::size_t> partitioned{0};
    gateway_fleet fleet(gateway_fleet::crashing_booking, soak::server_stand_in::end_kind::reset_connections,
                        gateway_fleet::default_gateway_count, partitioned);
    partition(fleet, partitioned);
    fleet.set_server_fault(soak::server_fault::slow);
    std::vector<std::thread> senders;
    for (std::size_t caller = 0; caller < several_callers; ++caller) {
        senders.emplace_back([&fleet] {
            for (std::size_t request = 0; request < 20; ++request) {
                fleet.send(0, "POST", "/book/1", std::to_string(request));
            }
        });
    }
    for (const std::size_t gateway : {2, 3}) {
        const auto arrivals = fleet.traffic().arrivals.size();
        EXPECT_TRUE(test_support::wait_until(
            [&] { return fleet.traffic().arrivals.size() > arrivals + several_callers; }));
        fleet.kill_gateway(gateway);
    }
    for (auto& sender : senders) {
        sender.join();
    }
    EXPECT_EQ(fleet.most_executions_of_bookings(), 1U);
    EXPECT_EQ(fleet.executed_refused_bookings(), 0U);
    fleet.set_server_fault(soak::server_fault::none);
    EXPECT_EQ(send_sequence(fleet, 0, objects), objects) << "through the gateway that is left";
}

// Guards against requests that wait, or go round between gateways, when none of these reaches a server.
TEST_F(partition_test, requests_are_refused_with_retry_after_when_no_gateway_reaches_a_server) {
    gateway_fleet fleet(gateway_fleet::crashing_booking, soak::server_stand_in::end_kind::reset_connections,
                        gateway_fleet::default_gateway_count, all_gateways);
    partition(fleet, all_gateways);
    for (const auto gateway : all_gateways) {
        EXPECT_EQ(fleet.send(gateway, "GET", "/read/1"), (answer{503, true})) << "gateway " << gateway;
        EXPECT_EQ(fleet.send(gateway, "POST", "/book/1"), (answer{503, true})) << "gateway " << gateway;
    }
    fleet.set_link_fault(soak::link_fault::none);
    for (const auto gateway : all_gateways) {
        EXPECT_TRUE(test_support::wait_until([&] {
            return fleet.send(gateway, "POST", "/book/1").status == 200;
        })) << "gateway "
            << gateway;
    }
    EXPECT_EQ(fleet.executed_refused_bookings(), 0U);
}

// Guards against callers that pass by the limits of a gateway.
TEST_F(partition_test, the_relay_address_takes_requests_of_gateways_only) {
    gateway_fleet fleet(gateway_fleet::crashing_booking);
    const auto arrivals = fleet.traffic().arrivals.size();
    EXPECT_EQ(fleet.send_to_relay_address(0, "/read/1").status, 401U);
    EXPECT_EQ(fleet.traffic().arrivals.size(), arrivals);
}

// Guards against content that is quarantined at all gateways, because a partition under a running request
// looks to its gateway as if the server had ended.
TEST_F(partition_test, requests_lost_by_partitions_are_not_taken_for_the_cause_of_crashes) {
    const std::set<std::size_t> partitioned{0};
    gateway_fleet fleet(gateway_fleet::crashing_booking, soak::server_stand_in::end_kind::reset_connections,
                        gateway_fleet::default_gateway_count, partitioned);
    for (int loss = 0; loss < 4; ++loss) {
        fleet.set_server_fault(soak::server_fault::hang_before_execution);
        const auto arrivals = fleet.traffic().arrivals.size();
        std::thread sender([&fleet] { fleet.send(0, "POST", "/book/1"); });
        EXPECT_TRUE(test_support::wait_until([&] { return fleet.traffic().arrivals.size() > arrivals; }));
        fleet.set_link_fault(soak::link_fault::reset);
        sender.join();
        fleet.set_link_fault(soak::link_fault::none);
        fleet.set_server_fault(soak::server_fault::none);
        EXPECT_TRUE(
            test_support::wait_until([&] { return fleet.send(0, "GET", "/read/other").status == 200; }));
    }
    for (std::size_t gateway = 0; gateway < fleet.gateway_count(); ++gateway) {
        EXPECT_FALSE(fleet.has_logged(gateway, "event=content-quarantined")) << "gateway " << gateway;
        EXPECT_EQ(fleet.send(gateway, "POST", "/book/1").status, 200U) << "gateway " << gateway;
    }
}

} // namespace
} // namespace carawayway::gateway_processes
