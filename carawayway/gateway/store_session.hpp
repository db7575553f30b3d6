// Keeps this gateway's copy of the store up to date and its own entry alive.
#pragma once

#include "carawayway/base/log.hpp"
#include "carawayway/fleet/store_health.hpp"
#include "carawayway/fleet/store_replica.hpp"
#include "carawayway/gateway/removal_certainty.hpp"
#include "carawayway/gateway/store_channel.hpp"
#include "carawayway/gateway/store_replication.hpp"
#include "carawayway/gateway/wire_types.hpp"
#include "carawayway/steering/retry_budget.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <functional>
#include <random>

namespace carawayway::gateway {

// One waiting watch over all keys, resumed at its revision; a whole listing when the history is gone; and the
// facts of another gateway while the store does not answer. One gateway of a failure domain watches, and the
// others follow it: calls to the store grow with the domains and not with the gateways.
template <platform_protocol Platform>
class store_session {
public:
    // Longest wait of a watch: bounds how long a silent connection goes unnoticed, and each return costs a
    // call.
    static constexpr base::duration watch_wait = std::chrono::seconds{4};
    static constexpr base::duration watch_margin = std::chrono::seconds{1};
    // Wait of a watch while the store is in trouble. A long watch begun during an outage goes unanswered
    // beyond its end, and changes made meanwhile would be in force too late.
    static constexpr base::duration probing_wait = std::chrono::milliseconds{100};
    // Pause after news, so that a series of changes costs few calls. Changes must be in force within 2.5 s,
    // and a slow store takes up to 0.5 s of that.
    static constexpr base::duration watch_pause = std::chrono::milliseconds{800};
    static constexpr base::duration list_timeout = std::chrono::seconds{3};
    // Above the answers of a slow store, and well below the time after which others count a gateway as gone.
    static constexpr base::duration call_timeout = std::chrono::milliseconds{900};
    static constexpr base::duration first_backoff = std::chrono::milliseconds{150};
    static constexpr base::duration longest_backoff = std::chrono::milliseconds{800};
    // A gateway that was killed leaves the look-up answers after the lease; callers' connections fail before.
    static constexpr base::duration lease_lifetime = std::chrono::milliseconds{3500};
    static constexpr base::duration renew_interval = std::chrono::milliseconds{1100};
    static constexpr base::duration relay_timeout = std::chrono::milliseconds{700};
    // Longest wait of a question to the gateway that is followed. With the margin it bounds how long a
    // gateway that stands still goes unnoticed; a change must be in force within 2.5 s.
    static constexpr base::duration follow_wait = std::chrono::milliseconds{700};
    static constexpr base::duration follow_margin = std::chrono::milliseconds{300};
    // A gateway that cannot follow watches the store itself for this long before it tries again.
    static constexpr base::duration follow_pause = std::chrono::seconds{3};

    using facts_handler = std::function<void(const std::vector<fleet::store_record>&, removal_trust)>;
    using peers_function = std::function<std::vector<boost::asio::ip::tcp::endpoint>()>;
    // The gateway to follow; nothing when this one is to watch the store.
    using leader_function = std::function<std::optional<boost::asio::ip::tcp::endpoint>()>;

    store_session(boost::asio::any_io_executor executor, const boost::asio::ip::tcp::endpoint& store,
                  fleet::gateway_registration own, base::duration lease, fleet::store_replica& facts,
                  facts_handler on_facts, peers_function peers, leader_function leader)
        : m_executor(std::move(executor)), m_own(std::move(own)), m_lifetime(lease), m_facts(facts),
          m_on_facts(std::move(on_facts)), m_peers(std::move(peers)), m_leader(std::move(leader)),
          m_watch(m_executor, store), m_calls(m_executor, store), m_watch_timer(m_executor),
          m_lease_timer(m_executor), m_random(std::random_device{}()) {}

    void start() {
        boost::asio::co_spawn(m_executor, keep_facts(), boost::asio::detached);
        boost::asio::co_spawn(m_executor, keep_entry(), boost::asio::detached);
    }

    // Takes this gateway's entry away, so that look-ups stop naming it.
    void withdraw() {
        m_withdrawn = true;
        m_lease_timer.cancel();
    }

    // The entry disappeared although this gateway runs: the store took it away.
    void own_entry_lost() {
        if (!m_withdrawn && m_lease != 0) {
            base::log(base::log_level::warning, "own-entry-lost", {{"lease", m_lease}});
            m_lease = 0;
            m_lease_timer.cancel();
        }
    }

    const fleet::store_health& condition() const { return m_condition; }

    // What gateways that follow this one may rely on.
    fact_relay_server::store_view view() const {
        return {m_watches && m_condition.is_reachable(),
                m_condition.time_since_failure(base::monotonic_now())};
    }

private:
    boost::asio::awaitable<void> keep_facts() {
        std::uint32_t failures = 0;
        bool listed = false;
        for (;;) {
            auto status = fleet::store_status::refused;
            if (!listed) {
                status = co_await list_all();
            } else {
                const auto leader = leader_to_follow();
                bool followed = false;
                if (leader) {
                    followed = co_await follow(*leader);
                }
                if (followed) {
                    continue;
                }
                status = co_await watch_once();
            }
            if (status == fleet::store_status::done) {
                listed = true;
                failures = 0;
                regained();
                continue;
            }
            if (status == fleet::store_status::compacted) {
                base::log(base::log_level::warning, "store-history-lost", {{"revision", m_facts.revision()}});
                listed = false;
                continue;
            }
            lost(status);
            co_await ask_peer();
            co_await pause(m_watch_timer,
                           steering::jittered_backoff(++failures, first_backoff, longest_backoff, m_random) +
                               first_backoff);
        }
    }

    boost::asio::awaitable<fleet::store_status> list_all() {
        std::vector<fleet::store_record> items;
        std::string last_key;
        std::int64_t revision = 0;
        for (bool more = true; more;) {
            const auto answer = co_await m_watch.call(Platform::list_call(last_key), list_timeout);
            if (!answer) {
                co_return fleet::store_status::refused;
            }
            auto page = Platform::read_page(answer->status, answer->body);
            if (page.status != fleet::store_status::done) {
                co_return page.status;
            }
            // The pages are not a snapshot: the watch starts where the first one was read.
            revision = revision == 0 ? page.revision : revision;
            more = page.has_more && !page.items.empty();
            last_key = more ? page.items.back().key : std::string{};
            std::move(page.items.begin(), page.items.end(), std::back_inserter(items));
        }
        m_on_facts(m_facts.replace_all(items, revision), own_trust());
        base::log(base::log_level::info, "store-listed", {{"items", items.size()}, {"revision", revision}});
        co_return fleet::store_status::done;
    }

    boost::asio::awaitable<fleet::store_status> watch_once() {
        const bool in_contact = m_condition.is_reachable();
        const auto wait = in_contact ? watch_wait : probing_wait;
        const auto timeout = in_contact ? watch_wait + watch_margin : call_timeout;
        const auto answer = co_await m_watch.call(Platform::watch_call(m_facts.revision(), wait), timeout);
        if (!answer) {
            co_return fleet::store_status::refused;
        }
        const auto page = Platform::read_events(answer->status, answer->body);
        if (page.status != fleet::store_status::done) {
            co_return page.status;
        }
        std::vector<fleet::store_record> changes;
        for (const auto& item : page.items) {
            if (m_facts.apply(item)) {
                changes.push_back(item);
            }
        }
        m_facts.advance(page.revision);
        if (!changes.empty()) {
            m_on_facts(changes, own_trust());
            co_await pause(m_watch_timer, watch_pause);
        }
        co_return fleet::store_status::done;
    }

    // Nothing while the store is in trouble: each gateway finds out by itself when it is back.
    std::optional<boost::asio::ip::tcp::endpoint> leader_to_follow() {
        const bool may_follow = m_condition.is_reachable() && base::monotonic_now() >= m_follow_from;
        auto leader = may_follow ? m_leader() : std::nullopt;
        m_watches = !leader.has_value();
        return leader;
    }

    // False when the leader does not answer, or does not follow the store itself.
    boost::asio::awaitable<bool> follow(boost::asio::ip::tcp::endpoint leader) {
        const fleet::replication_request request{
            m_facts.revision(), std::chrono::duration_cast<std::chrono::milliseconds>(follow_wait)};
        const auto reply = co_await ask_for_facts(m_executor, leader, request, follow_wait + follow_margin);
        if (!reply || !reply->watches_store) {
            m_watches = true;
            m_follow_from = base::monotonic_now() + follow_pause;
            base::log(base::log_level::info, "leader-not-followed",
                      {{"leader", leader.address().to_string()}, {"answered", reply.has_value()}});
            co_return false;
        }
        m_condition.record_leader_failure(reply->time_since_failure, base::monotonic_now());
        take(*reply, leader);
        co_return true;
    }

    boost::asio::awaitable<void> ask_peer() {
        const auto peers = m_peers();
        if (peers.empty()) {
            co_return;
        }
        const auto& peer = peers[m_random() % peers.size()];
        const fleet::replication_request request{m_facts.revision(), {}};
        const auto reply = co_await ask_for_facts(m_executor, peer, request, relay_timeout);
        if (reply) {
            take(*reply, peer);
        }
    }

    // Facts of another gateway; they may be older than the own ones.
    void take(const fleet::replication_reply& reply, const boost::asio::ip::tcp::endpoint& from) {
        if (reply.revision < m_facts.revision()) {
            return;
        }
        std::vector<fleet::store_record> changes;
        if (reply.complete) {
            changes = m_facts.replace_all(reply.records, reply.revision);
        } else {
            for (const auto& item : reply.records) {
                if (m_facts.apply(item)) {
                    changes.push_back(item);
                }
            }
            m_facts.advance(reply.revision);
        }
        if (!changes.empty()) {
            base::log(m_condition.is_reachable() ? base::log_level::debug : base::log_level::info,
                      "facts-from-peer",
                      {{"peer", from.address().to_string()},
                       {"changes", changes.size()},
                       {"revision", reply.revision}});
            // A peer that sees the store well knows which removals are real, also while this gateway does
            // not.
            const bool is_settled = reply.time_since_failure >= fleet::store_health::settling_time;
            m_on_facts(changes, is_settled ? removal_trust::certain : removal_trust::uncertain);
        }
    }

    removal_trust own_trust() const {
        return m_condition.is_settled(base::monotonic_now()) ? removal_trust::certain
                                                             : removal_trust::uncertain;
    }

    boost::asio::awaitable<void> keep_entry() {
        while (!m_withdrawn) {
            bool kept = false;
            if (m_lease == 0) {
                kept = co_await make_entry();
            } else {
                kept = co_await renew();
            }
            co_await pause(m_lease_timer, kept ? renew_interval : first_backoff * 2);
        }
        if (m_lease != 0) {
            co_await m_calls.call(Platform::revoke_call(m_lease), call_timeout);
        }
    }

    boost::asio::awaitable<bool> make_entry() {
        const auto granted = co_await call_for_entry(Platform::grant_call(m_lifetime));
        const auto lease =
            granted ? Platform::read_lease(granted->status, granted->body) : fleet::store_lease{};
        if (lease.status != fleet::store_status::done) {
            co_return false;
        }
        const auto written = co_await call_for_entry(Platform::register_call(m_own, lease.id));
        if (!written || Platform::read_status(written->status) != fleet::store_status::done) {
            co_return false;
        }
        m_lease = lease.id;
        base::log(base::log_level::info, "own-entry-made", {{"lease", m_lease}});
        co_return true;
    }

    boost::asio::awaitable<bool> renew() {
        const auto answer = co_await call_for_entry(Platform::renew_call(m_lease));
        const auto status = answer ? Platform::read_status(answer->status) : fleet::store_status::refused;
        if (status == fleet::store_status::missing) {
            m_lease = 0;
            co_return false;
        }
        co_return status == fleet::store_status::done;
    }

    boost::asio::awaitable<std::optional<store_answer>> call_for_entry(fleet::store_call call) {
        auto answer = co_await m_calls.call(std::move(call), call_timeout);
        if (!answer) {
            // The store is silent: the waiting watch would notice only at its own time-out.
            m_watch.interrupt();
        }
        co_return answer;
    }

    void lost(fleet::store_status status) {
        if (m_condition.is_reachable()) {
            base::log(base::log_level::warning, "store-lost",
                      {{"status", static_cast<int>(status)}, {"revision", m_facts.revision()}});
        }
        m_condition.record_failure(base::monotonic_now());
    }

    void regained() {
        if (m_condition.record_success()) {
            base::log(base::log_level::info, "store-regained", {{"revision", m_facts.revision()}});
        }
    }

    static boost::asio::awaitable<void> pause(boost::asio::steady_timer& timer, base::duration length) {
        timer.expires_after(length);
        boost::system::error_code ended_early;
        co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ended_early));
    }

    boost::asio::any_io_executor m_executor;
    fleet::gateway_registration m_own;
    base::duration m_lifetime; // of the lease
    fleet::store_replica& m_facts;
    facts_handler m_on_facts;
    peers_function m_peers;
    leader_function m_leader;
    store_channel m_watch; // listing and watch
    store_channel m_calls; // lease and own entry
    boost::asio::steady_timer m_watch_timer;
    boost::asio::steady_timer m_lease_timer;
    std::minstd_rand m_random;
    fleet::store_health m_condition;
    bool m_watches = true;            // the store; not while a leader is followed
    base::time_point m_follow_from{}; // a leader may be followed again
    std::int64_t m_lease = 0;         // 0: none
    bool m_withdrawn = false;
};

} // namespace carawayway::gateway
