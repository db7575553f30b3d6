// Tests that run times which are expected to be too long do not keep requests from their servers for good.
#include "carawayway/placement/server_selector.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>

namespace carawayway::placement {
namespace {

using namespace std::chrono_literals;

constexpr base::time_point start{std::chrono::hours{1}};

// One gateway and four idle servers, in virtual time.
class run_time_trials_test : public testing::Test {
protected:
    run_time_trials_test() {
        m_route.name = "new";
        m_route.target_latency = 300ms;
        for (const auto* const id : {"a-0", "a-1", "a-2", "a-3"}) {
            fleet::server_registration registration;
            registration.id = id;
            registration.service = "s";
            registration.address = "10.0.0.1:80";
            registration.failure_domain = "a1";
            registration.slots = 6;
            m_servers.put(registration, start);
        }
    }

    // Sends a request for a new object unless it is refused. Returns whether it was sent and is answered
    // before its deadline.
    bool is_served(base::duration run_time, base::duration time_left) {
        const auto placed = choose(time_left);
        if (!placed.server) {
            return false;
        }
        ++m_sent;
        if (run_time > time_left) {
            return false;
        }
        m_running.push_back({placed, m_now + run_time, run_time});
        return true;
    }

    placement_result choose(base::duration time_left) {
        return m_selector.choose({m_route,
                                  m_service,
                                  ++m_object * 0x9e3779b97f4a7c15ULL,
                                  time_left,
                                  m_route.target_latency,
                                  {},
                                  true,
                                  {},
                                  0,
                                  std::nullopt,
                                  m_allows_trial},
                                 m_now);
    }

    // Lets the time pass, and takes the answers that arrive meanwhile.
    void pass(base::duration time) {
        m_now += time;
        while (!m_running.empty() && m_running.front().ends_at <= m_now) {
            const auto& item = m_running.front();
            if (m_are_answers_delayed) {
                m_selector.observe_delayed(m_route.name, m_service, item.placed.cache_state, item.run_time,
                                           item.ends_at);
            } else {
                m_selector.observe(*item.placed.server, m_route.name, m_service, item.placed.cache_state,
                                   item.run_time, item.ends_at);
            }
            m_running.pop_front();
        }
    }

    // The number of requests that are served of those that come in this time, one each 100 ms.
    int served_within(base::duration time, base::duration run_time, base::duration time_left) {
        int served = 0;
        for (const auto end = m_now + time; m_now < end; pass(100ms)) {
            served += is_served(run_time, time_left) ? 1 : 0;
        }
        return served;
    }

    void observe(const std::string& route, base::duration run_time) {
        const auto server = m_servers.candidates(m_service).front();
        m_selector.observe(*server, route, m_service, object_cache_state::not_cached, run_time, m_now);
        server->slowdown = 1.0;
    }

    struct running_request {
        placement_result placed;
        base::time_point ends_at;
        base::duration run_time;
    };

    routing::route m_route;
    std::string m_service = "s";
    bool m_allows_trial = true;
    bool m_are_answers_delayed = false;
    std::uint64_t m_object = 0;
    int m_sent = 0;
    base::time_point m_now = start;
    std::deque<running_request> m_running; // that will be answered, next one first
    server_table m_servers{{"g", "a1", "a", {{"a1", "a"}}}, {1.5, 5.0}};
    run_time_estimator m_run_times;
    affinity_cache m_affinity{100};
    round_trip_estimator m_round_trips;
    region_shift_limiter m_shift_limiter{"a", 0.15};
    region_spillover m_spillover{"a"};
    server_selector m_selector{m_servers,     m_run_times,     m_affinity,
                               m_round_trips, m_shift_limiter, m_spillover};
};

// Guards against a route that is added to a service with longer requests and refused for good, since nothing
// is learned of requests that are not sent.
TEST_F(run_time_trials_test, a_new_route_is_served_although_its_service_has_longer_requests) {
    observe("old", 1728ms);
    const int served = served_within(20s, 528ms, 1200ms);
    EXPECT_GE(served, 200 - 6) << "all but those before the first answer";
}

// Guards against objects that no server has cached and that are refused for good, since their run time is
// taken from that of cached objects.
TEST_F(run_time_trials_test, objects_that_are_not_cached_are_served_after_cached_ones) {
    m_run_times.observe("new", m_service, object_cache_state::cached, 528ms);
    EXPECT_GE(served_within(20s, 528ms, 1200ms), 200 - 6);
}

// Guards against a route that stays refused when its servers are no longer slow.
TEST_F(run_time_trials_test, a_route_is_served_again_after_a_slow_spell) {
    for (int sample = 0; sample < 50; ++sample) {
        observe("new", 1190ms);
    }
    pass(run_time_trials::confirmation_lifetime);
    EXPECT_GE(served_within(20s, 300ms, 1200ms), 200 - 4);
}

// Guards against a route that is refused for longer than its servers were slow.
TEST_F(run_time_trials_test, a_route_is_served_again_when_all_its_servers_counted_as_slow) {
    observe("new", 300ms);
    pass(run_time_trials::confirmation_lifetime);
    for (const auto& server : m_servers.candidates(m_service)) {
        server->slowdown = 8.0;
        server->slowdown_updated_at = m_now;
    }
    EXPECT_GE(served_within(2s, 300ms, 1200ms), 5) << "at the server of the trial";
    pass(2s);
    EXPECT_EQ(served_within(2s, 300ms, 1200ms), 20) << "at all servers";
}

// Guards against a failure domain that is not used any more, because the first connection to it took long.
TEST_F(run_time_trials_test, a_round_trip_that_was_too_long_is_measured_again) {
    observe("new", 300ms);
    pass(run_time_trials::confirmation_lifetime);
    m_round_trips.observe("a1", 3s);
    EXPECT_TRUE(is_served(300ms, 1200ms));
    m_round_trips.observe("a1", 2ms); // by the connection of the trial
    pass(300ms);
    EXPECT_TRUE(is_served(300ms, 1200ms));
}

// Guards against servers that work for nothing on requests which are known to take too long.
TEST_F(run_time_trials_test, a_recent_answer_that_took_too_long_is_not_tested) {
    for (int second = 0; second < 10; ++second) {
        observe("new", 1500ms); // of a caller with more time
        EXPECT_EQ(served_within(1s, 1500ms, 1200ms), 0);
    }
    EXPECT_EQ(m_sent, 0);
}

TEST_F(run_time_trials_test, a_route_that_takes_too_long_gets_few_trials) {
    observe("old", 1728ms);
    EXPECT_EQ(served_within(20s, 1728ms, 1200ms), 0);
    EXPECT_EQ(m_sent, 20s / run_time_trials::confirmation_lifetime);
}

// Guards against callers with short deadlines whose requests are the only ones that are ever tried.
TEST_F(run_time_trials_test, a_request_with_more_time_does_not_wait_for_the_next_trial) {
    observe("old", 1728ms);
    EXPECT_FALSE(is_served(528ms, 100ms));
    pass(100ms);
    EXPECT_TRUE(is_served(528ms, 1200ms));
    EXPECT_EQ(m_sent, 2);
}

// Guards against a route that is refused for good because all of its answers come from queues or cold
// servers, whose run times are not known.
TEST_F(run_time_trials_test, an_answer_that_has_waited_ends_a_trial_if_it_is_earlier_than_expected) {
    observe("old", 1728ms);
    m_are_answers_delayed = true;
    EXPECT_GE(served_within(20s, 700ms, 1200ms), 200 - 8);
}

// Guards against trials while requests are refused because of a queue.
TEST_F(run_time_trials_test, a_long_queue_is_not_tested) {
    observe("new", 300ms);
    pass(run_time_trials::confirmation_lifetime);
    for (const auto& server : m_servers.candidates(m_service)) {
        m_servers.record_load_report(*server, {6, 18, 6}, m_now);
    }
    EXPECT_EQ(choose(1200ms).reason, refusal::too_late);
}

TEST_F(run_time_trials_test, a_resend_is_no_trial) {
    observe("old", 1728ms);
    m_allows_trial = false;
    const auto refused = choose(1200ms);
    EXPECT_EQ(refused.reason, refusal::too_late);
    EXPECT_EQ(refused.estimate, (latency_estimate{{}, 1728ms, run_time_basis::service}));
}

// Guards against a server that counts as slow because the run time of another route was expected of it.
TEST_F(run_time_trials_test, the_answer_to_a_trial_does_not_change_the_speed_of_its_server) {
    observe("old", 1728ms);
    const auto placed = choose(1200ms);
    ASSERT_NE(placed.server, nullptr);
    m_selector.observe(*placed.server, "new", m_service, placed.cache_state, 528ms, m_now + 528ms);
    EXPECT_EQ(placed.server->slowdown, 1.0);
    EXPECT_EQ(m_run_times.expected("new", m_service, placed.cache_state), 528ms);
}

} // namespace
} // namespace carawayway::placement
