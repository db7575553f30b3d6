// Tests the selection of a server for a request.
#include "carawayway/placement/server_selector.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace carawayway::placement {
namespace {

using namespace std::chrono_literals;

constexpr base::time_point start{std::chrono::hours{1}};

class server_selector_test : public testing::Test {
protected:
    server_selector_test() {
        m_route.name = "route";
        m_route.target_latency = 250ms;
        m_run_times.observe("route", "s", object_cache_state::cached, 108ms);
        m_run_times.observe("route", "s", object_cache_state::not_cached, 360ms);
        for (const auto* const domain : {"a1", "a2", "b1"}) {
            for (int index = 0; index < 2; ++index) {
                fleet::server_registration registration;
                registration.id = std::string(domain) + "-" + std::to_string(index);
                registration.service = "s";
                registration.address = "10.0.0.1:80";
                registration.failure_domain = domain;
                registration.slots = 2;
                m_servers.put(registration, start);
            }
        }
    }

    // Lets the server name a limit, and gives this gateway all permits of it.
    void limit_with_permits(const server_state& server, double requests_per_second) {
        auto& limits = m_servers.rate_limits();
        limits.record_named(server, requests_per_second, start - 1s);
        limits.set_lease("s", start + 10s);
        for (std::uint32_t number = 0; number < request_rate_limits::permit_count(requests_per_second);
             ++number) {
            limits.put(
                {server.registration.id, 0, server.region, number, "g", "s", requests_per_second, false},
                number + 1, start - 1s);
        }
    }

    placement_result choose(std::uint64_t object, std::vector<std::string> tried = {}) {
        const auto regions = routing::region_restriction::from_list(m_route.allowed_regions);
        return m_selector.choose({m_route, m_service, object, 2s, 250ms, tried, true, regions}, start);
    }

    routing::route m_route;
    std::string m_service = "s";
    server_table m_servers{{"g", "a1", "a", {{"a1", "a"}, {"a2", "a"}, {"b1", "b"}}}, {1.5, 5.0}};
    run_time_estimator m_run_times;
    affinity_cache m_affinity{100};
    round_trip_estimator m_round_trips;
    region_shift_limiter m_shift_limiter{"a", 0.15};
    region_spillover m_spillover{"a"};
    server_selector m_selector{m_servers,     m_run_times,     m_affinity,
                               m_round_trips, m_shift_limiter, m_spillover};
};

// Guards against spreading an object over several servers without load.
TEST_F(server_selector_test, an_object_keeps_its_server_in_the_own_region) {
    for (std::uint64_t object = 1; object <= 20; ++object) {
        const auto first = choose(object * 0x9e3779b97f4a7c15ULL);
        ASSERT_NE(first.server, nullptr);
        EXPECT_EQ(first.server->region, "a");
        EXPECT_EQ(choose(object * 0x9e3779b97f4a7c15ULL).server, first.server);
    }
}

// Guards against a retry at the server that just failed.
TEST_F(server_selector_test, a_server_that_had_the_request_is_excluded) {
    const auto first = choose(7);
    const auto second = choose(7, {first.server->registration.id});
    ASSERT_NE(second.server, nullptr);
    EXPECT_NE(second.server, first.server);
}

// Guards against sending a request outside the regions that its route allows, even when no server is usable
// there.
TEST_F(server_selector_test, only_allowed_regions_are_used) {
    m_route.allowed_regions = {"b"};
    EXPECT_EQ(choose(7).server->region, "b");
    m_servers.set_evacuated("b1", true, start);
    EXPECT_EQ(choose(7).server, nullptr);
    EXPECT_EQ(choose(7).reason, refusal::no_server);
}

// Load: machines that are shared with others and slow at times. Guards against waiting for a machine that has
// just told that work takes long on it, and against shunning it when the report is old.
TEST_F(server_selector_test, a_machine_that_is_slow_now_is_left_for_a_moment) {
    const auto usual = choose(7).server;
    m_servers.record_load_report(*usual, {0, 0, 2, 6.0}, start);
    EXPECT_NE(choose(7).server, usual);
    m_servers.record_load_report(*usual, {0, 0, 2, 6.0}, start - 4s);
    EXPECT_EQ(choose(7).server, usual);
}

// Guards against callers that wait for an answer that cannot arrive in time.
TEST_F(server_selector_test, refuses_at_once_what_cannot_be_answered_in_time) {
    for (const auto& server : m_servers.candidates("s")) {
        m_servers.record_load_report(*server, {2, 100, 2}, start);
    }
    const auto refused = choose(7);
    EXPECT_EQ(refused.server, nullptr);
    EXPECT_EQ(refused.reason, refusal::too_late);
    EXPECT_GT(refused.retry_after, base::duration::zero());
}

// Guards against refusals that nobody can explain: a long queue and a run time that was learned elsewhere
// look the same to callers.
TEST_F(server_selector_test, a_refusal_tells_what_would_take_too_long) {
    for (const auto& server : m_servers.candidates("s")) {
        m_servers.record_load_report(*server, {2, 100, 2}, start);
    }
    const auto queued = choose(7).estimate;
    EXPECT_GT(queued.wait, 2s);
    EXPECT_EQ(queued.basis, run_time_basis::route);
    routing::route other;
    other.name = "other";
    const auto refused = m_selector.choose({other, m_service, 7, 100ms, 100ms, {}, true}, start + 10s);
    EXPECT_EQ(refused.reason, refusal::too_late);
    EXPECT_EQ(refused.estimate, (latency_estimate{{}, 360ms, run_time_basis::service}));
}

// Guards against cache misses that amplify an overload: a short queue is better than a server that does not
// have the object cached.
TEST_F(server_selector_test, a_short_queue_does_not_divert_an_object) {
    const auto first = choose(7);
    m_affinity.record(7, first.server->id_hash);
    m_servers.record_load_report(*first.server, {2, 1, 2}, start);
    EXPECT_EQ(choose(7).server, first.server);
    m_servers.record_load_report(*first.server, {2, 20, 2}, start);
    EXPECT_NE(choose(7).server, first.server);
}

// Guards against a server that gets requests beyond the limit that it names.
TEST_F(server_selector_test, a_server_with_a_limit_gets_nothing_without_a_permit) {
    const auto usual = choose(7).server;
    m_servers.rate_limits().record_named(*usual, 5.0, start);
    const auto other = choose(7);
    ASSERT_NE(other.server, nullptr);
    EXPECT_NE(other.server, usual);
    EXPECT_EQ(other.server->region, "a") << "the others of the region have room";
}

TEST_F(server_selector_test, a_server_with_a_limit_gets_what_permits_allow) {
    const auto usual = choose(7).server;
    limit_with_permits(*usual, 5.0);
    int sent = 0;
    for (int request = 0; request < 20; ++request) {
        sent += choose(7).server == usual ? 1 : 0;
    }
    EXPECT_EQ(sent, 5) << "a second's worth";
}

// Guards against a permitted rate that lies idle while the servers without a limit are overloaded, because
// few objects of the gateway have the limited server among their first choices.
TEST_F(server_selector_test, permits_are_used_for_all_objects_under_load) {
    const auto limited = choose(7).server;
    for (const auto& server : m_servers.candidates("s")) {
        if (server != limited) {
            m_servers.record_load_report(*server, {2, 8, 2}, start);
        }
    }
    std::vector<std::uint64_t> objects; // that have other servers as their first choices
    for (std::uint64_t object = 1; object <= 100; ++object) {
        const auto hash = object * 0x9e3779b97f4a7c15ULL;
        if (choose(hash).server != limited) {
            objects.push_back(hash);
        }
    }
    ASSERT_GE(objects.size(), 20U);
    limit_with_permits(*limited, 5.0);
    const auto sent = std::count_if(objects.begin(), objects.end(),
                                    [&](std::uint64_t object) { return choose(object).server == limited; });
    EXPECT_EQ(sent, 5) << "a second's worth";
}

// Guards against requests that are sent in spite of the limits, or wait, when no server takes more.
TEST_F(server_selector_test, refuses_at_once_what_no_server_takes) {
    for (const auto& server : m_servers.candidates("s")) {
        m_servers.rate_limits().record_named(*server, 5.0, start);
    }
    const auto refused = choose(7);
    EXPECT_EQ(refused.server, nullptr);
    EXPECT_EQ(refused.reason, refusal::rate_limit);
    EXPECT_EQ(refused.retry_after, request_rate_limits::unpermitted_retry_after);
}

// Guards against preferring a server that fails its requests while its health checks succeed.
TEST_F(server_selector_test, a_failing_server_loses_its_objects) {
    const auto first = choose(7);
    for (int count = 0; count < 20; ++count) {
        m_servers.record_answer(*first.server, false, start);
    }
    EXPECT_NE(choose(7).server, first.server);
}

// Guards against applying the cap on shifts to a region that lost all its servers, which would refuse most of
// its requests.
TEST_F(server_selector_test, a_region_without_servers_shifts_everything_at_once) {
    m_servers.set_evacuated("a1", true, start);
    m_servers.set_evacuated("a2", true, start);
    m_servers.record_load_report(*m_servers.find("b1-0"), {2, 100, 2}, start);
    for (std::uint64_t object = 1; object <= 50; ++object) {
        EXPECT_NE(choose(object).server, nullptr) << object;
    }
}

// Before any run time is known, the round trip could outweigh the cost that keeps a diverted object in the
// other region. Guards against diverted objects that stay in the own region because of that, and shift all at
// once as soon as run times are known.
TEST_F(server_selector_test, diverted_objects_stay_in_the_other_region_before_run_times_are_known) {
    run_time_estimator no_run_times;
    server_selector selector{m_servers,     no_run_times,    m_affinity,
                             m_round_trips, m_shift_limiter, m_spillover};
    m_spillover.initialize(m_service, {0.5, 0.05}, start);
    std::size_t diverted = 0;
    for (std::uint64_t object = 1; object <= 50; ++object) {
        const auto placed = selector.choose({m_route, m_service, object, 2s, 250ms, {}, true}, start);
        ASSERT_NE(placed.server, nullptr);
        if (m_spillover.is_diverted(m_service, object, start)) {
            ++diverted;
            EXPECT_EQ(placed.server->region, "b") << object;
        }
    }
    EXPECT_GT(diverted, 25U);
}

// Guards against requests that go to servers which want none, or that wait for them.
TEST_F(server_selector_test, resting_servers_get_nothing_while_others_are_usable) {
    std::vector<std::string> rested;
    for (int choice = 0; choice < 5; ++choice) {
        const auto server = choose(7).server;
        ASSERT_NE(server, nullptr);
        EXPECT_EQ(std::count(rested.begin(), rested.end(), server->registration.id), 0);
        rested.push_back(server->registration.id);
        m_servers.record_rest(*server, 3s, start);
    }
    EXPECT_NE(choose(7).server, nullptr) << "the last of six";
}

TEST_F(server_selector_test, requests_are_refused_until_the_first_rest_ends_when_all_servers_rest) {
    auto rest = 5s;
    for (const auto& server : m_servers.candidates("s")) {
        m_servers.record_rest(*server, rest--, start - 500ms);
        rest = std::max(rest, 2s);
    }
    const auto refused = choose(7);
    EXPECT_EQ(refused.server, nullptr);
    EXPECT_EQ(refused.reason, refusal::resting);
    EXPECT_EQ(refused.retry_after, 1500ms);
}

TEST_F(server_selector_test, the_earliest_of_rests_and_limits_decides_when_to_come_back) {
    const auto all = m_servers.candidates("s");
    for (const auto& server : all) {
        m_servers.record_rest(*server, 3s, start);
    }
    all.front()->rests_until = {};
    all.front()->has_rested = false;
    m_servers.rate_limits().record_named(*all.front(), 2.0, start);
    const auto refused = choose(7);
    EXPECT_EQ(refused.reason, refusal::rate_limit);
    EXPECT_EQ(refused.retry_after, request_rate_limits::unpermitted_retry_after);
}

} // namespace
} // namespace carawayway::placement
