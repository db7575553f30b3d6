// Gateway processes of two builds in one deployment. By hand: build another commit with Meta/build-commit.sh
// and give its program in CARAWAYWAY_OTHER_PROGRAM. Without that, both programs are the one built here.
#include "Tests/gateway_processes/caller_mix.hpp"
#include "Tests/gateway_processes/gateway_fleet.hpp"
#include "Tests/soak/rate_limit.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <gtest/gtest.h>

#include <cstdlib>
#include <memory>

namespace carawayway::gateway_processes {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* this_program = CARAWAYWAY_PROGRAM;
constexpr milliseconds time_between_replacements{500};
constexpr milliseconds store_outage{6000};
// From the beginning of a partition until callers must be served again.
constexpr milliseconds time_to_adapt{3000};
constexpr std::size_t servers_until_known = 3;
constexpr std::size_t requests_of_each = 40; // partitioned gateway
// One gateway of each failure domain. Which of them leads its domain follows from the names, so that each
// build leads one domain.
const std::set<std::size_t> one_of_each_domain{0, 1};

std::string other_program() {
    const char* const named = std::getenv("CARAWAYWAY_OTHER_PROGRAM");
    return named == nullptr ? this_program : named;
}

// All builds before fc58a1a cut requests of callers that pipeline off when they stop.
bool other_build_cuts_pipelined_requests() {
    return std::getenv("CARAWAYWAY_OTHER_CUTS_PIPELINED") != nullptr;
}

// Which gateways run the other program: those of this set or all others. Alike without another program.
enum class direction : std::uint8_t { forwards, backwards };

class mixed_builds_test : public testing::TestWithParam<direction> {
protected:
    static bool is_forwards() { return GetParam() == direction::forwards; }
    // The program of the gateways that are replaced, and the one that they are replaced by.
    static std::string from_program() { return is_forwards() ? other_program() : this_program; }
    static std::string to_program() { return is_forwards() ? this_program : other_program(); }

    // `first` run from_program(), the others to_program().
    static std::map<std::size_t, std::string> split(const std::set<std::size_t>& first) {
        std::map<std::size_t, std::string> programs;
        for (std::size_t gateway = 0; gateway < gateway_fleet::default_gateway_count; ++gateway) {
            programs[gateway] = first.contains(gateway) ? from_program() : to_program();
        }
        return programs;
    }

    static std::unique_ptr<gateway_fleet> fleet_of(const std::map<std::size_t, std::string>& programs,
                                                   const std::set<std::size_t>& behind_links = {}) {
        return std::make_unique<gateway_fleet>(gateway_fleet::crashing_booking,
                                               soak::server_stand_in::end_kind::reset_connections,
                                               gateway_fleet::default_gateway_count, behind_links, programs);
    }

    static void expect_rules_hold(gateway_fleet& fleet, const caller_findings& findings) {
        RecordProperty("answers", fmt::format("{}", findings.answers));
        for (const auto& [kind, requests] : findings.cut) {
            const bool is_other = kind.program != this_program;
            const bool is_pipelined = kind.connection == connection_kind::pipelined;
            RecordProperty(fmt::format("cut_{}_by_{}", static_cast<int>(kind.connection),
                                       is_other ? "other_build" : "this_build"),
                           static_cast<int>(requests));
            EXPECT_TRUE(is_other && is_pipelined && other_build_cuts_pipelined_requests())
                << requests << " cut off by " << kind.program << " on connections of kind "
                << static_cast<int>(kind.connection);
        }
        EXPECT_LE(fleet.most_executions_of_bookings(), 1U);
        EXPECT_EQ(fleet.executed_refused_bookings(), 0U);
        EXPECT_EQ(soak::find_retry_excess(gateway_fleet::retry_limit, fleet.traffic()), std::nullopt);
        for (std::size_t gateway = 0; gateway < fleet.gateway_count(); ++gateway) {
            for (const auto* const level : {"warning", "error"}) {
                RecordProperty(fmt::format("{}_events_{}", level, gateway),
                               fmt::format("{}", fleet.logged_events(gateway, level)));
            }
        }
    }

    static void expect_route_is_served_everywhere(gateway_fleet& fleet, const std::string& prefix) {
        fleet.add_route(prefix);
        for (std::size_t gateway = 0; gateway < fleet.gateway_count(); ++gateway) {
            EXPECT_TRUE(test_support::wait_until([&] {
                return fleet.send(gateway, "GET", prefix + "1").status == 200;
            })) << "gateway "
                << gateway << " of " << fleet.program_of(gateway);
        }
    }

    static void expect_refused_everywhere(gateway_fleet& fleet, const std::string& path) {
        for (std::size_t gateway = 0; gateway < fleet.gateway_count(); ++gateway) {
            EXPECT_TRUE(test_support::wait_until([&] {
                return fleet.has_logged(gateway, "event=content-quarantined");
            })) << "gateway "
                << gateway << " of " << fleet.program_of(gateway);
            EXPECT_EQ(fleet.send(gateway, "POST", path), (answer{503, true})) << "gateway " << gateway;
        }
    }
};

// Guards against requests that are cut off, run twice or refused while a deployment changes its build.
TEST_P(mixed_builds_test, gateways_are_replaced_one_after_the_other) {
    const auto fleet = fleet_of(split({0, 1, 2, 3}));
    caller_mix callers(*fleet);
    for (std::size_t gateway = 0; gateway < fleet->gateway_count(); ++gateway) {
        std::this_thread::sleep_for(time_between_replacements);
        EXPECT_EQ(fleet->stop_gateway(gateway), 0);
        fleet->start_gateway(gateway, to_program());
        expect_route_is_served_everywhere(*fleet, fmt::format("/step-{}/", gateway));
    }
    expect_rules_hold(*fleet, callers.end());
}

// Guards against replacements that are safe only while the store answers.
TEST_P(mixed_builds_test, gateways_are_replaced_while_the_store_is_lost) {
    const auto fleet = fleet_of(split({0, 1, 2, 3}));
    caller_mix callers(*fleet);
    for (const std::size_t gateway : one_of_each_domain) {
        fleet->set_store_fault(soak::store_fault::unavailable);
        std::this_thread::sleep_for(time_between_replacements);
        EXPECT_EQ(fleet->stop_gateway(gateway), 0);
        fleet->set_store_fault(soak::store_fault::none);
        fleet->start_gateway(gateway, to_program());
        expect_route_is_served_everywhere(*fleet, fmt::format("/step-{}/", gateway));
    }
    expect_rules_hold(*fleet, callers.end());
}

// Guards against leaders and followers that do not understand each other, before and after an outage of the
// store.
TEST_P(mixed_builds_test, both_builds_serve_side_by_side) {
    const auto fleet = fleet_of(split(one_of_each_domain));
    caller_mix callers(*fleet);
    expect_route_is_served_everywhere(*fleet, "/before/");
    fleet->set_store_fault(soak::store_fault::unavailable);
    std::this_thread::sleep_for(store_outage);
    fleet->set_store_fault(soak::store_fault::none);
    expect_route_is_served_everywhere(*fleet, "/after/");
    const auto server = fleet->start_server();
    for (std::size_t gateway = 0; gateway < fleet->gateway_count(); ++gateway) {
        EXPECT_TRUE(test_support::wait_until([&] {
            return fleet->has_logged(gateway, "event=server-registered server=" + server + " ");
        })) << "gateway "
            << gateway;
    }
    expect_rules_hold(*fleet, callers.end());
}

// Guards against gateways that cannot read what one of the other build has read from the store.
TEST_P(mixed_builds_test, gateways_without_the_store_learn_from_the_other_build) {
    const auto fleet = fleet_of(split(one_of_each_domain), one_of_each_domain);
    caller_mix callers(*fleet);
    fleet->set_store_link(soak::store_link::unavailable);
    expect_route_is_served_everywhere(*fleet, "/meanwhile/");
    fleet->set_store_link(soak::store_link::open);
    expect_route_is_served_everywhere(*fleet, "/after/");
    expect_rules_hold(*fleet, callers.end());
}

// Guards against crash notices that only the own build reads.
TEST_P(mixed_builds_test, the_other_build_learns_of_crashes_without_the_store) {
    const auto fleet = fleet_of(split(one_of_each_domain));
    const std::string path = std::string(gateway_fleet::crashing_booking) + "7";
    fleet->set_store_fault(soak::store_fault::unavailable);
    for (std::size_t loss = 0; loss < servers_until_known; ++loss) {
        EXPECT_EQ(fleet->send(0, "POST", path).status, 502U);
    }
    expect_refused_everywhere(*fleet, path);
    EXPECT_EQ(fleet->ended_servers(), servers_until_known);
}

// Guards against quarantines in the store that a later build does not read.
TEST_P(mixed_builds_test, gateways_know_the_quarantines_of_the_build_before) {
    const auto fleet = fleet_of(split({0, 1, 2, 3}));
    const std::string path = std::string(gateway_fleet::crashing_booking) + "7";
    for (std::size_t loss = 0; loss < servers_until_known; ++loss) {
        fleet->send(0, "POST", path);
    }
    EXPECT_TRUE(test_support::wait_until([&] { return fleet->store_keys("carawayway/quarantine/") == 1; }));
    fleet->restart_all_gateways(to_program());
    expect_refused_everywhere(*fleet, path);
    EXPECT_EQ(fleet->ended_servers(), servers_until_known);
}

// Guards against requests that a gateway without servers hands to another build, which refuses them or does
// not say what became of them.
TEST_P(mixed_builds_test, partitioned_gateways_are_served_by_the_other_build) {
    const auto fleet = fleet_of(split(one_of_each_domain), one_of_each_domain);
    caller_mix callers(*fleet);
    fleet->set_link_fault(soak::link_fault::reset);
    std::this_thread::sleep_for(time_to_adapt);
    for (const std::size_t gateway : one_of_each_domain) {
        EXPECT_TRUE(fleet->has_logged(gateway, "event=servers-unreachable"));
        std::size_t served = 0;
        for (std::size_t request = 0; request < requests_of_each; ++request) {
            const auto object = std::to_string(request);
            const bool is_lookup = request % 2 == 0;
            served += fleet->send(gateway, is_lookup ? "GET" : "POST",
                                  (is_lookup ? "/read/" : "/book/") + object, object)
                                  .status == 200
                          ? 1
                          : 0;
        }
        EXPECT_EQ(served, requests_of_each) << "gateway " << gateway << " of " << fleet->program_of(gateway);
    }
    expect_rules_hold(*fleet, callers.end());
}

// Guards against limits of servers that two builds share out differently.
TEST_P(mixed_builds_test, both_builds_keep_the_limit_of_a_server_together) {
    constexpr double limit = 7.0; // requests per second
    const auto fleet = fleet_of(split(one_of_each_domain));
    caller_mix callers(*fleet);
    std::this_thread::sleep_for(seconds{1});
    const auto server = fleet->server_ids().front();
    fleet->name_request_limit({server}, limit);
    const auto named_at = soak::clock::now();
    std::this_thread::sleep_for(soak::time_to_keep_limit + seconds{7});
    const soak::rate_limit_phase phase{server, limit, {named_at, soak::clock::now()}};
    const auto most = soak::most_arrivals(phase, fleet->traffic().arrivals);
    RecordProperty("most_within_window", static_cast<int>(most));
    EXPECT_LE(static_cast<double>(most), soak::allowed_arrivals(phase));
    EXPECT_GT(most, 0U);
    expect_rules_hold(*fleet, callers.end());
}

INSTANTIATE_TEST_SUITE_P(directions, mixed_builds_test,
                         testing::Values(direction::forwards, direction::backwards),
                         [](const auto& parameter) {
                             return parameter.param == direction::forwards ? "forwards" : "backwards";
                         });

} // namespace
} // namespace carawayway::gateway_processes
