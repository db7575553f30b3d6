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
    static void expect_callers_are_served(link_fault fault, const std::set<std::size_t>& partitioned) {
        gateway_fleet fleet(gateway_fleet::crashing_booking,
                            soak::server_stand_in::end_kind::reset_connections,
                            gateway_fleet::default_gateway_count, partitioned);
        const auto before = send_to_all(fleet, partitioned, 1);
        EXPECT_EQ(before.partitioned.served, before.partitioned.sent);
        fleet.set_link_fault(fault);
        send_while_adapting(fleet, partitioned);
        expect_served_like_others(send_to_all(fleet, partitioned, several_callers));
        EXPECT_LE(fleet.most_executions_of_bookings(), 1U);
    }
};

// Guards against gateways that refuse requests because they reach no server, though other gateways do.
TEST_F(partition_test, callers_are_served_while_servers_reset_connections) {
    expect_callers_are_served(link_fault::reset, one_gateway_of_each_domain);
}

// Guards against requests that wait for servers that never answer.
TEST_F(partition_test, callers_are_served_while_servers_do_not_answer) {
    expect_callers_are_served(link_fault::hang, one_gateway_of_each_domain);
}

// Guards against gateways that take a few connections that live on for a sign that they reach the servers.
TEST_F(partition_test, callers_are_served_while_new_connections_to_servers_are_refused) {
    expect_callers_are_served(link_fault::refuse_new, one_gateway_of_each_domain);
}

// Guards against gateways that know only those of their own failure domain as a way out.
TEST_F(partition_test, a_failure_domain_without_servers_is_served_through_the_other_one) {
    expect_callers_are_served(link_fault::reset, all_gateways_of_a_domain);
}

} // namespace
} // namespace carawayway::gateway_processes
