// Tests the rate of requests that a server with a limit gets from all gateways together, in virtual time.
#include "carawayway/placement/request_rate_limits.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <random>

namespace carawayway::placement {
namespace {

using namespace std::chrono_literals;

constexpr base::time_point start{std::chrono::hours{1}};
constexpr base::duration lease_lifetime = 15s;
constexpr base::duration step = 10ms;

// What the gateways know of each other.
enum class gateway_view : std::uint8_t { complete, only_itself };

server_state limited_server() {
    server_state server;
    server.registration.id = "i-1";
    server.registration.started_at = 5;
    server.region = "r";
    return server;
}

// One gateway process, with the lease of its permits.
class simulated_gateway {
public:
    simulated_gateway(std::size_t index, std::size_t count, gateway_view view)
        : m_name(name_of(index)), m_map(locality{m_name, "a", "r", {{"a", "r"}}}), m_limits(m_name) {
        for (std::size_t other = 0; other < count; ++other) {
            if (other == index || view == gateway_view::complete) {
                m_map.put({name_of(other), "a", "r", {}, {}, {}}, start);
            }
        }
    }

    request_rate_limits& limits() { return m_limits; }
    const gateway_map& map() const { return m_map; }
    const std::string& name() const { return m_name; }

    // Starts the process again: it knows nothing, and the lease of the process before it runs on.
    void restart() { m_limits = request_rate_limits(m_name); }

    std::optional<base::time_point> told_at; // when an answer first named the limit to it

private:
    static std::string name_of(std::size_t index) { return "g" + std::to_string(index); }

    std::string m_name;
    gateway_map m_map;
    request_rate_limits m_limits;
};

// Gateways, the permits of one server in the store, and a server that counts its requests.
class rate_limit_simulation {
public:
    rate_limit_simulation(std::size_t gateways, gateway_view view, double limit) : m_limit(limit) {
        for (std::size_t index = 0; index < gateways; ++index) {
            m_gateways.push_back(std::make_unique<simulated_gateway>(index, gateways, view));
        }
    }

    // Every gateway has a request for the server in each step.
    void run(base::duration length) {
        for (const auto end = m_now + length; m_now < end; m_now += step) {
            deliver_changes();
            expire_leases();
            for (const auto& gateway : m_gateways) {
                send(*gateway);
                claim(*gateway);
            }
        }
    }

    void set_store_takes_writes(bool takes_writes) { m_store_takes_writes = takes_writes; }
    void set_limit(std::optional<double> limit) { m_limit = limit; }
    void restart(std::size_t gateway) { m_gateways.at(gateway)->restart(); }
    std::size_t claims() const { return m_claims; }
    std::size_t gateway_count() const { return m_gateways.size(); }
    base::time_point now() const { return m_now; }

    std::size_t gateways_that_limit() const {
        return static_cast<std::size_t>(
            std::count_if(m_gateways.begin(), m_gateways.end(), [this](const auto& gateway) {
                return gateway->limits().is_limited("i-1", m_now);
            }));
    }

    // The most requests of gateways that were told the limit, in any window of 4 s that ends after `from`.
    std::size_t most_in_window(base::time_point from) const {
        std::size_t most = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < m_requests.size(); ++last) {
            while (m_requests[last] - m_requests[first] > 4s) {
                ++first;
            }
            most = m_requests[last] >= from ? std::max(most, last - first + 1) : most;
        }
        return most;
    }

    double rate(base::time_point from) const {
        const auto count =
            std::count_if(m_requests.begin(), m_requests.end(), [from](auto time) { return time >= from; });
        return static_cast<double>(count) / base::to_seconds(m_now - from);
    }

private:
    struct stored_permit {
        fleet::request_permit permit;
        std::int64_t revision = 0;
        base::time_point expires;
    };

    struct change {
        std::size_t gateway = 0;
        std::uint32_t number = 0;
        std::int64_t revision = 0;
        std::optional<fleet::request_permit> permit; // empty: removed
        base::time_point due;
    };

    void send(simulated_gateway& gateway) {
        auto& limits = gateway.limits();
        if (!limits.try_acquire("i-1", m_now)) {
            return;
        }
        if (gateway.told_at && m_now >= *gateway.told_at + 500ms) {
            m_requests.push_back(m_now);
        }
        if (m_limit) {
            gateway.told_at = gateway.told_at.value_or(m_now);
            limits.record_named(m_server, *m_limit, m_now);
        } else {
            limits.record_unnamed("i-1", m_now);
        }
    }

    void claim(simulated_gateway& gateway) {
        auto& limits = gateway.limits();
        if (!m_store_takes_writes) {
            return;
        }
        for (const auto& release : limits.due_releases()) {
            auto ended = release.held.front().permit;
            ended.has_ended = true;
            write(ended);
            limits.finish_release(release, m_revision, m_now);
        }
        auto& lease = m_leases[gateway.name()];
        if (limits.needs_lease(m_now) && m_now >= lease.renewed_at + 5s) {
            lease.renewed_at = m_now;
            limits.set_lease(lease.session, m_now + lease_lifetime);
            for (auto& [number, stored] : m_stored) {
                if (stored.permit.session == lease.session) {
                    stored.expires = m_now + lease_lifetime;
                }
            }
        }
        if (!limits.needs_lease(m_now) && !limits.due_claims(gateway.map(), m_now).empty()) {
            lease = {std::to_string(++m_sessions), m_now};
            limits.set_lease(lease.session, m_now + lease_lifetime);
        }
        for (const auto& item : limits.due_claims(gateway.map(), m_now)) {
            ++m_claims;
            limits.defer_claim(item.permit, m_now);
            const auto stored = m_stored.find(item.permit.number);
            if ((stored == m_stored.end() ? 0 : stored->second.revision) == item.expected_revision) {
                write(item.permit);
                limits.put(item.permit, m_revision, m_now);
            }
        }
    }

    void write(const fleet::request_permit& permit) {
        m_stored[permit.number] = {permit, ++m_revision, m_now + lease_lifetime};
        announce(permit.number, permit);
    }

    void expire_leases() {
        for (auto found = m_stored.begin(); found != m_stored.end();) {
            const auto number = found->first;
            const bool has_expired = found->second.expires <= m_now;
            found = has_expired ? m_stored.erase(found) : std::next(found);
            if (has_expired) {
                ++m_revision;
                announce(number, std::nullopt);
            }
        }
    }

    // Each gateway hears of a change within a second.
    void announce(std::uint32_t number, const std::optional<fleet::request_permit>& permit) {
        for (std::size_t gateway = 0; gateway < m_gateways.size(); ++gateway) {
            m_changes.push_back(
                {gateway, number, m_revision, permit, m_now + std::chrono::milliseconds{m_random() % 1000}});
        }
    }

    void deliver_changes() {
        const auto is_due = [this](const change& item) { return item.due <= m_now; };
        for (const auto& item : m_changes) {
            if (!is_due(item)) {
                continue;
            }
            auto& limits = m_gateways[item.gateway]->limits();
            if (item.permit) {
                limits.put(*item.permit, item.revision, m_now);
            } else {
                limits.erase("i-1", item.number, item.revision, m_now);
            }
        }
        std::erase_if(m_changes, is_due);
    }

    struct lease_state {
        std::string session;
        base::time_point renewed_at;
    };

    std::optional<double> m_limit;
    server_state m_server = limited_server();
    std::vector<std::unique_ptr<simulated_gateway>> m_gateways;
    std::map<std::uint32_t, stored_permit> m_stored; // by number
    std::map<std::string, lease_state> m_leases;     // by gateway
    std::deque<change> m_changes;
    std::vector<base::time_point> m_requests; // of gateways that were told the limit
    std::minstd_rand m_random{7};
    base::time_point m_now = start;
    std::int64_t m_revision = 0;
    std::size_t m_claims = 0;
    std::size_t m_sessions = 0;
    bool m_store_takes_writes = true;
};

double allowed_in_window(double limit) {
    return 1.5 * 4.0 * limit + 5.0;
}

// Guards against shares of a limit that do not add up, and against a server that gets nothing because each
// share is below one request.
TEST(request_rate_limits_test, all_gateways_together_keep_the_limit_and_use_it) {
    for (const std::size_t gateways : {1U, 4U, 10U, 63U, 420U}) {
        for (const double limit : {0.5, 2.0, 7.0, 40.0}) {
            rate_limit_simulation simulation(gateways, gateway_view::complete, limit);
            simulation.run(14s);
            EXPECT_LE(static_cast<double>(simulation.most_in_window(start + 3s)), allowed_in_window(limit))
                << gateways << " gateways, limit " << limit;
            EXPECT_GE(simulation.rate(start + 8s), 0.8 * limit) << gateways << " gateways, limit " << limit;
            EXPECT_LE(simulation.claims(), 3 * request_rate_limits::permit_count(limit))
                << gateways << " gateways, limit " << limit;
        }
    }
}

// Guards against gateways that each take the whole limit because they do not know the others.
TEST(request_rate_limits_test, the_limit_holds_whatever_gateways_know_of_each_other) {
    for (const std::size_t gateways : {10U, 420U}) {
        for (const double limit : {0.5, 7.0}) {
            rate_limit_simulation simulation(gateways, gateway_view::only_itself, limit);
            simulation.run(14s);
            EXPECT_LE(static_cast<double>(simulation.most_in_window(start + 3s)), allowed_in_window(limit))
                << gateways << " gateways, limit " << limit;
            EXPECT_GE(simulation.rate(start + 8s), 0.8 * limit) << gateways << " gateways, limit " << limit;
        }
    }
}

// Guards against a limit that is used twice, by the processes before and after a restart.
TEST(request_rate_limits_test, the_limit_holds_when_gateways_are_restarted) {
    constexpr double limit = 7.0;
    rate_limit_simulation simulation(10, gateway_view::complete, limit);
    simulation.run(5s);
    for (std::size_t round = 0; round < 5; ++round) {
        for (std::size_t gateway = 0; gateway < simulation.gateway_count(); gateway += 1 + round) {
            simulation.restart(gateway);
        }
        simulation.run(2s);
    }
    simulation.run(10s);
    EXPECT_LE(static_cast<double>(simulation.most_in_window(start + 3s)), allowed_in_window(limit));
}

// Guards against permits that two gateways use, because the lease of one ended while the store was away.
TEST(request_rate_limits_test, the_limit_holds_while_the_store_takes_no_writes_and_afterwards) {
    constexpr double limit = 7.0;
    rate_limit_simulation simulation(10, gateway_view::complete, limit);
    simulation.run(5s);
    simulation.set_store_takes_writes(false);
    const auto lost_at = simulation.now();
    simulation.run(5s);
    EXPECT_GE(simulation.rate(lost_at), 0.8 * limit) << "permits last through a short outage";
    simulation.run(25s);
    simulation.set_store_takes_writes(true);
    const auto regained_at = simulation.now();
    simulation.run(10s);
    EXPECT_LE(static_cast<double>(simulation.most_in_window(start + 3s)), allowed_in_window(limit));
    EXPECT_GE(simulation.rate(regained_at + 4s), 0.8 * limit);
}

// Guards against gateways that all ask a limited server again at the same time, because none has a permit.
TEST(request_rate_limits_test, the_limit_holds_through_a_long_outage_of_the_store) {
    constexpr double limit = 7.0;
    rate_limit_simulation simulation(420, gateway_view::complete, limit);
    simulation.set_store_takes_writes(false);
    simulation.run(200s);
    EXPECT_LE(static_cast<double>(simulation.most_in_window(start + 3s)), allowed_in_window(limit));
    EXPECT_GT(simulation.rate(start + 60s), 0.0) << "the end of the limit would be noticed";
}

// Guards against a limit that outlives its naming at gateways without a permit, which get no answers.
TEST(request_rate_limits_test, all_gateways_learn_that_a_limit_has_ended) {
    rate_limit_simulation simulation(420, gateway_view::complete, 7.0);
    simulation.run(5s);
    simulation.set_limit(std::nullopt);
    simulation.run(4s);
    EXPECT_EQ(simulation.gateways_that_limit(), 0U);
}

class request_rate_limits_of_one_gateway : public testing::Test {
protected:
    void hold_permit(double limit) {
        m_limits.record_named(m_server, limit, start);
        m_limits.set_lease("s", start + lease_lifetime);
        const auto claims = m_limits.due_claims(m_map, start);
        ASSERT_EQ(claims.size(), 1U);
        m_limits.put(claims.front().permit, 1, start);
    }

    gateway_map m_map{locality{"g", "a", "r", {{"a", "r"}}}};
    server_state m_server = limited_server();
    request_rate_limits m_limits{"g"};
};

// Guards against an answer that was sent before the limit was named and arrives after it.
TEST_F(request_rate_limits_of_one_gateway, an_answer_to_an_earlier_request_does_not_end_the_limit) {
    EXPECT_TRUE(m_limits.record_named(m_server, 7.0, start));
    EXPECT_FALSE(m_limits.record_named(m_server, 7.0, start)) << "it was known";
    EXPECT_FALSE(m_limits.record_unnamed("i-1", start - 1ms));
    EXPECT_TRUE(m_limits.is_limited("i-1", start));
    EXPECT_TRUE(m_limits.record_unnamed("i-1", start + 1ms));
    EXPECT_FALSE(m_limits.is_limited("i-1", start));
}

// Guards against a server that named a limit of zero and is never used again.
TEST_F(request_rate_limits_of_one_gateway, a_server_that_takes_nothing_is_asked_now_and_then) {
    hold_permit(0.0);
    EXPECT_FALSE(m_limits.allows("i-1", start + 4s));
    EXPECT_TRUE(m_limits.allows("i-1", start + 6s));
}

TEST_F(request_rate_limits_of_one_gateway, without_a_permit_nothing_is_sent) {
    m_limits.record_named(m_server, 7.0, start);
    EXPECT_FALSE(m_limits.allows("i-1", start + 30s));
    EXPECT_EQ(m_limits.time_until_allowed("i-1", start), request_rate_limits::unpermitted_retry_after);
    constexpr auto longest = request_rate_limits::limit_memory + request_rate_limits::limit_memory_spread;
    EXPECT_TRUE(m_limits.allows("i-1", start + longest)) << "asks again";
    EXPECT_TRUE(m_limits.allows("i-2", start)) << "another server";
}

// Guards against a process that wakes after its lease has ended and sends as if it still held the permit.
TEST_F(request_rate_limits_of_one_gateway, a_permit_counts_until_its_lease_could_end) {
    hold_permit(2.0);
    EXPECT_TRUE(m_limits.allows("i-1", start + 14s));
    EXPECT_FALSE(m_limits.allows("i-1", start + lease_lifetime));
}

// Guards against permits that lie idle after a restart, until the lease of the process before it has ended.
TEST_F(request_rate_limits_of_one_gateway, a_restarted_gateway_takes_over_its_permits) {
    m_limits.put({"i-1", 5, "r", 0, "g", "earlier", 2.0, false}, 8, start);
    const auto claims = m_limits.due_claims(m_map, start);
    ASSERT_EQ(claims.size(), 1U);
    EXPECT_EQ(claims.front().expected_revision, 8);
    EXPECT_FALSE(m_limits.allows("i-1", start + 5s)) << "not before the store has taken the claim";
}

// Guards against permits that gateways with few requests for the server take from those of its region.
TEST_F(request_rate_limits_of_one_gateway, gateways_of_other_regions_claim_late) {
    gateway_map elsewhere{locality{"g", "b", "q", {{"a", "r"}, {"b", "q"}}}};
    elsewhere.put({"other", "a", "r", {}, {}, {}}, start);
    m_limits.record_named(m_server, 2.0, start);
    EXPECT_EQ(m_limits.due_claims(elsewhere, start + 9s).size(), 0U);
    EXPECT_EQ(m_limits.due_claims(elsewhere, start + 10s).size(), 1U);
    EXPECT_EQ(m_limits.due_claims(m_map, start).size(), 1U) << "of the region";
}

// Guards against permits of servers that are gone, which are kept for ever.
TEST_F(request_rate_limits_of_one_gateway, permits_of_a_server_that_is_gone_are_released) {
    hold_permit(2.0);
    EXPECT_TRUE(m_limits.needs_lease(start));
    m_limits.remove_server("i-1");
    EXPECT_EQ(m_limits.due_releases().size(), 1U);
    EXPECT_FALSE(m_limits.needs_lease(start));
}

// Guards against the limit of a server that has ended, which its next incarnation has not named.
TEST_F(request_rate_limits_of_one_gateway, a_new_incarnation_has_no_limit) {
    hold_permit(2.0);
    m_limits.start_incarnation("i-1", 6);
    EXPECT_FALSE(m_limits.is_limited("i-1", start));
    EXPECT_FALSE(m_limits.record_named(m_server, 2.0, start)) << "an answer of the incarnation before";
    EXPECT_FALSE(m_limits.is_limited("i-1", start));
}

// Guards against events that arrive in another order than their revisions, from the store and from a peer.
TEST_F(request_rate_limits_of_one_gateway, older_changes_of_a_permit_are_ignored) {
    hold_permit(2.0);
    m_limits.put({"i-1", 5, "r", 0, "other", "t", 2.0, false}, 3, start);
    m_limits.erase("i-1", 0, 2, start);
    m_limits.put({"i-1", 5, "r", 0, "g", "s", 2.0, false}, 1, start);
    EXPECT_FALSE(m_limits.allows("i-1", start + 5s)) << "the other gateway holds it";
    m_limits.erase("i-1", 0, 4, start);
    EXPECT_EQ(m_limits.due_claims(m_map, start + 5s).size(), 1U);
}

} // namespace
} // namespace carawayway::placement
