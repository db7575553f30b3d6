// The choice of a server for one request.
#include "carawayway/placement/server_selector.hpp"

#include <gtest/gtest.h>

namespace carawayway::placement {
namespace {

using namespace std::chrono_literals;

constexpr base::time_point start{std::chrono::hours{1}};

class server_selector_test : public testing::Test {
protected:
    server_selector_test() {
        m_route.name = "route";
        m_route.target_latency = 250ms;
        m_times.observe("route", "s", object_cache_state::cached, 108ms);
        m_times.observe("route", "s", object_cache_state::not_cached, 360ms);
        for (const auto* const domain : {"a1", "a2", "b1"}) {
            for (int index = 0; index < 2; ++index) {
                fleet::server_registration facts;
                facts.id = std::string(domain) + "-" + std::to_string(index);
                facts.service = "s";
                facts.address = "10.0.0.1:80";
                facts.failure_domain = domain;
                facts.slots = 2;
                m_servers.put(facts, start);
            }
        }
    }

    placement_result choose(std::uint64_t object, std::vector<std::string> tried = {}) {
        return m_choice.choose({m_route, m_service, object, 2s, 250ms, tried, true}, start);
    }

    routing::route m_route;
    std::string m_service = "s";
    server_table m_servers{{"g", "a1", "a", {{"a1", "a"}, {"a2", "a"}, {"b1", "b"}}}, {1.5, 5.0}};
    run_time_estimator m_times;
    affinity_cache m_affinity{100};
    round_trip_estimator m_trips;
    region_shift_limiter m_shifts{"a", 0.15};
    region_spillover m_spill{"a"};
    server_selector m_choice{m_servers, m_times, m_affinity, m_trips, m_shifts, m_spill};
};

// Guards against an object that is spread over servers while there is no load.
TEST_F(server_selector_test, an_object_keeps_its_server_in_the_own_region) {
    for (std::uint64_t object = 1; object <= 20; ++object) {
        const auto first = choose(object * 0x9e3779b97f4a7c15ULL);
        ASSERT_NE(first.server, nullptr);
        EXPECT_EQ(first.server->region, "a");
        EXPECT_EQ(choose(object * 0x9e3779b97f4a7c15ULL).server, first.server);
    }
}

// Guards against a repeat that goes to the server that just failed.
TEST_F(server_selector_test, a_server_that_had_the_request_is_left_out) {
    const auto first = choose(7);
    const auto second = choose(7, {first.server->registration.id});
    ASSERT_NE(second.server, nullptr);
    EXPECT_NE(second.server, first.server);
}

// Guards against a request that leaves the regions its route allows, also when none is usable there.
TEST_F(server_selector_test, homes_are_never_left) {
    m_route.allowed_regions = {"b"};
    EXPECT_EQ(choose(7).server->region, "b");
    m_servers.set_evacuated("b1", true, start);
    EXPECT_EQ(choose(7).server, nullptr);
    EXPECT_EQ(choose(7).reason, refusal::no_server);
}

// Guards against a caller that waits for an answer that cannot come in time.
TEST_F(server_selector_test, refuses_at_once_what_cannot_be_served_in_time) {
    for (const auto& server : m_servers.candidates("s")) {
        m_servers.record_load_report(*server, {2, 100, 2}, start);
    }
    const auto refused = choose(7);
    EXPECT_EQ(refused.server, nullptr);
    EXPECT_EQ(refused.reason, refusal::too_late);
    EXPECT_GT(refused.retry_after, base::duration::zero());
}

// Guards against first runs that multiply an overload: a short wait is better than a server that lacks the
// object.
TEST_F(server_selector_test, a_short_wait_does_not_move_an_object) {
    const auto first = choose(7);
    m_affinity.record(7, first.server->id_hash);
    m_servers.record_load_report(*first.server, {2, 1, 2}, start);
    EXPECT_EQ(choose(7).server, first.server);
    m_servers.record_load_report(*first.server, {2, 20, 2}, start);
    EXPECT_NE(choose(7).server, first.server);
}

// Guards against a server that fails its requests while its health check is good.
TEST_F(server_selector_test, a_failing_server_loses_its_objects) {
    const auto first = choose(7);
    for (int count = 0; count < 20; ++count) {
        m_servers.record_answer(*first.server, false, start);
    }
    EXPECT_NE(choose(7).server, first.server);
}

// Guards against the cap on moves when there is no choice: a region that lost all its servers would refuse
// most of its callers.
TEST_F(server_selector_test, a_region_without_servers_moves_everything_at_once) {
    m_servers.set_evacuated("a1", true, start);
    m_servers.set_evacuated("a2", true, start);
    m_servers.record_load_report(*m_servers.find("b1-0"), {2, 100, 2}, start);
    for (std::uint64_t object = 1; object <= 50; ++object) {
        EXPECT_NE(choose(object).server, nullptr) << object;
    }
}

// Pattern: all objects are new, and no run time is known yet. Guards against objects that are to move, go
// home because of the trip, and leave together once run times are known.
TEST_F(server_selector_test, objects_that_move_stay_away_before_run_times_are_known) {
    run_time_estimator unknown;
    server_selector first_choice{m_servers, unknown, m_affinity, m_trips, m_shifts, m_spill};
    m_spill.begin(m_service, {0.5, 0.05}, start);
    std::size_t moved = 0;
    for (std::uint64_t object = 1; object <= 50; ++object) {
        const auto placed = first_choice.choose({m_route, m_service, object, 2s, 250ms, {}, true}, start);
        ASSERT_NE(placed.server, nullptr);
        if (m_spill.moves(m_service, object, start)) {
            ++moved;
            EXPECT_EQ(placed.server->region, "b") << object;
        }
    }
    EXPECT_GT(moved, 25U);
}

} // namespace
} // namespace carawayway::placement
