// Synchronizes this gateway's copy of the store and keeps its registration alive.
#pragma once

#include "carawayway/base/log.hpp"
#include "carawayway/fleet/registration_lease.hpp"
#include "carawayway/fleet/store_era.hpp"
#include "carawayway/fleet/store_health.hpp"
#include "carawayway/fleet/store_replica.hpp"
#include "carawayway/fleet/store_retry_pacing.hpp"
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
#include <utility>

namespace carawayway::gateway {

// Follows the store with one long-poll watch over all keys, resumed at the last known revision. Lists the
// whole store when the history after that revision has been compacted, and fetches records from another
// gateway while the store does not answer. One gateway of each failure domain, the leader, watches the store,
// and the others get the records from it, so that the load on the store depends on the number of failure
// domains and not on the number of gateways.
template <platform_protocol Platform>
class store_session {
public:
    // Long-poll wait of a watch. Limits how long a dead connection goes unnoticed; each watch costs one call.
    static constexpr base::duration watch_wait = std::chrono::seconds{2};
    static constexpr base::duration watch_timeout_margin = std::chrono::seconds{1};
    // Long-poll wait during a store outage, and of the first watch after the leader has lost contact with the
    // store. A long watch that starts during an outage, or while the store drops its history, stays
    // unanswered afterwards, and changes made in between would be applied too late.
    static constexpr base::duration probing_watch_wait = std::chrono::milliseconds{100};
    // Delay after a change, so that a series of changes needs few calls. A slow store takes up to 0.5 s of
    // the 2.5 s within which changes must be applied.
    static constexpr base::duration change_batching_delay = std::chrono::milliseconds{800};
    static constexpr base::duration list_timeout = std::chrono::seconds{3};
    // Longer than a slow store takes to answer, and well below the time after which the registration expires.
    static constexpr base::duration call_timeout = std::chrono::milliseconds{900};
    static constexpr base::duration initial_backoff = std::chrono::milliseconds{150};
    static constexpr base::duration maximum_backoff = std::chrono::milliseconds{800};
    static constexpr base::duration registration_backoff = std::chrono::milliseconds{300};
    static constexpr base::duration peer_request_timeout = std::chrono::milliseconds{700};
    // Long-poll wait of a request to the leader. Together with the margin it limits how long a hung leader
    // goes unnoticed; changes must be applied within 2.5 s.
    static constexpr base::duration leader_request_wait = std::chrono::milliseconds{700};
    static constexpr base::duration leader_request_margin = std::chrono::milliseconds{300};
    // After the store was restored from an older copy, keys that it has lost stay in force for this long.
    // Servers write again within about two seconds, and the platform removes those that have ended after
    // three heartbeats.
    static constexpr base::duration restore_hold = std::chrono::seconds{5};
    // Gateways list a restored store at different times within this, to stay within its rate limits.
    static constexpr base::duration restore_spread = std::chrono::milliseconds{400};
    // After a failed request to the leader, the gateway watches the store itself for this long.
    static constexpr base::duration follow_retry_delay = std::chrono::seconds{3};

    using records_handler = std::function<void(const std::vector<fleet::store_record>&, removal_certainty)>;
    // Runs when the store was restored from an older copy, so that what this gateway wrote may be lost.
    using restore_handler = std::function<void()>;
    using peers_function = std::function<std::vector<boost::asio::ip::tcp::endpoint>()>;
    // Address of the leader to follow; nothing when this gateway is to watch the store.
    using leader_function = std::function<std::optional<boost::asio::ip::tcp::endpoint>()>;

    store_session(boost::asio::any_io_executor executor, const boost::asio::ip::tcp::endpoint& store,
                  fleet::gateway_registration own_registration, fleet::registration_lease lease,
                  fleet::store_replica& replica, records_handler on_records, restore_handler on_restore,
                  peers_function find_peers, leader_function find_leader)
        : m_executor(std::move(executor)), m_own_registration(std::move(own_registration)), m_lease(lease),
          m_replica(replica), m_on_records(std::move(on_records)), m_on_restore(std::move(on_restore)),
          m_find_peers(std::move(find_peers)), m_find_leader(std::move(find_leader)),
          m_watch_channel(m_executor, store), m_lease_channel(m_executor, store), m_watch_timer(m_executor),
          m_lease_timer(m_executor), m_random(std::random_device{}()) {}

    void start() {
        boost::asio::co_spawn(m_executor, synchronize_replica(), boost::asio::detached);
        boost::asio::co_spawn(m_executor, maintain_registration(), boost::asio::detached);
    }

    // Removes this gateway's registration, so that lookup responses no longer contain it.
    void deregister() {
        m_deregistered = true;
        m_lease_timer.cancel();
    }

    // Registers again after the store has removed the registration of this running gateway.
    void handle_registration_loss() {
        if (!m_deregistered && m_lease_id != 0) {
            base::log(base::log_level::warning, "own-entry-lost", {{"lease", m_lease_id}});
            m_lease_id = 0;
            m_lease_timer.cancel();
        }
    }

    const fleet::store_health& health() const { return m_health; }

    // What this gateway reports to the gateways that follow it.
    replication_server::watch_status watch_status() const {
        return {m_watches_store && m_health.is_reachable(),
                m_health.time_since_failure(base::monotonic_now())};
    }

private:
    boost::asio::awaitable<void> synchronize_replica() {
        fleet::store_retry_pacing pacing(call_timeout);
        for (;;) {
            const auto started = base::monotonic_now();
            settle_restored_store();
            auto status = fleet::store_status::refused;
            if (m_replica.revision().era < m_era.known()) {
                m_listed = false;
            }
            if (!m_listed) {
                status = co_await list_store();
            } else {
                const auto leader = leader_to_follow();
                bool followed = false;
                if (leader) {
                    followed = co_await follow_once(*leader);
                }
                if (followed) {
                    continue;
                }
                status = co_await watch_once();
            }
            if (status == fleet::store_status::done) {
                m_listed = true;
                pacing.record_success();
                record_store_success();
                continue;
            }
            if (status == fleet::store_status::compacted) {
                base::log(base::log_level::warning, "store-history-lost",
                          {{"revision", m_replica.revision()}});
                m_listed = false;
                continue;
            }
            if (status == fleet::store_status::unreadable) {
                m_listed = false; // the same watch would fail again
            }
            record_store_failure(status);
            co_await fetch_records_from_peer();
            const auto backoff =
                initial_backoff +
                steering::jittered_backoff(pacing.failures() + 1, initial_backoff, maximum_backoff, m_random);
            co_await pause(m_watch_timer,
                           pacing.pause_after_failure(base::monotonic_now() - started, backoff));
        }
    }

    boost::asio::awaitable<fleet::store_status> list_store() {
        std::vector<fleet::store_record> items;
        std::string last_key;
        std::optional<fleet::store_revision> revision;
        for (bool more = true; more;) {
            const auto response = co_await m_watch_channel.call(Platform::list_call(last_key), list_timeout);
            if (!response || observe_era(*response) == fleet::era_order::older) {
                co_return fleet::store_status::refused;
            }
            if (revision && revision->era < m_era.known()) {
                co_return fleet::store_status::compacted; // restored in the middle of the listing
            }
            auto page = Platform::read_page(response->status, response->body);
            if (page.status != fleet::store_status::done) {
                co_return page.status;
            }
            // The pages are not a snapshot, so the watch starts at the revision of the first one.
            revision = revision.value_or(page.revision.in_era(m_era.known()));
            more = page.has_more && !page.items.empty();
            last_key = more ? page.items.back().key : std::string{};
            for (auto& item : page.items) {
                item.revision = item.revision.in_era(m_era.known());
                items.push_back(std::move(item));
            }
        }
        merge_listing(items, *revision);
        base::log(base::log_level::info, "store-listed", {{"items", items.size()}, {"revision", *revision}});
        co_return fleet::store_status::done;
    }

    void merge_listing(const std::vector<fleet::store_record>& items, fleet::store_revision revision) {
        const auto before = m_replica.revision();
        if (m_replica.empty() || revision.era <= before.era) {
            m_on_records(m_replica.replace_all(items, revision), own_removal_certainty());
            return;
        }
        const auto now = base::monotonic_now();
        const auto changes = m_replica.begin_era(items, revision);
        base::log(base::log_level::warning, "store-restored",
                  {{"known", before},
                   {"revision", revision},
                   {"items", items.size()},
                   {"changes", changes.size()}});
        m_health.record_restore(now);
        m_restore_settles_at = now + restore_hold;
        m_on_records(changes, removal_certainty::unconfirmed);
        handle_registration_loss();
        m_on_restore();
    }

    // Ends the hold after the store was restored.
    void settle_restored_store() {
        if (!m_restore_settles_at || base::monotonic_now() < *m_restore_settles_at) {
            return;
        }
        m_restore_settles_at.reset();
        const auto changes = m_replica.settle_era();
        base::log(base::log_level::info, "store-restore-settled",
                  {{"revision", m_replica.revision()}, {"not_written_again", changes.size()}});
        m_on_records(changes, removal_certainty::confirmed);
    }

    fleet::era_order observe_era(const store_response& response) {
        return m_era.observe(Platform::read_era(response.headers), base::monotonic_now());
    }

    boost::asio::awaitable<fleet::store_status> watch_once() {
        const bool is_probe = std::exchange(m_leader_lost_store, false) || !m_health.is_reachable();
        const auto wait = is_probe ? probing_watch_wait : watch_wait;
        const auto timeout = is_probe ? call_timeout : watch_wait + watch_timeout_margin;
        const auto response =
            co_await m_watch_channel.call(Platform::watch_call(m_replica.revision().number, wait), timeout);
        const auto order = response ? observe_era(*response) : fleet::era_order::older;
        if (order == fleet::era_order::older) {
            co_return fleet::store_status::refused;
        }
        if (m_replica.revision().era < m_era.known()) {
            // The events are those of a restored store that has not been listed yet.
            co_await pause(m_watch_timer, random_part_of(restore_spread));
            co_return fleet::store_status::compacted;
        }
        if (response->is_too_large) { // a listing has each key once
            base::log(base::log_level::warning, "store-answer-too-large",
                      {{"revision", m_replica.revision()}});
            co_return fleet::store_status::compacted;
        }
        auto page = Platform::read_events(response->status, response->body);
        if (page.status != fleet::store_status::done) {
            co_return page.status;
        }
        std::vector<fleet::store_record> changes;
        for (auto& item : page.items) {
            item.revision = item.revision.in_era(m_era.known());
            if (m_replica.apply(item)) {
                changes.push_back(item);
            }
        }
        m_replica.advance(page.revision.in_era(m_era.known()));
        if (!changes.empty()) {
            m_on_records(changes, own_removal_certainty());
            co_await pause(m_watch_timer, change_batching_delay);
        }
        co_return fleet::store_status::done;
    }

    // Nothing during a store outage: each gateway detects the end of the outage by itself.
    std::optional<boost::asio::ip::tcp::endpoint> leader_to_follow() {
        const bool may_follow = m_health.is_reachable() && base::monotonic_now() >= m_follow_not_before;
        auto leader = may_follow ? m_find_leader() : std::nullopt;
        m_watches_store = !leader.has_value();
        return leader;
    }

    // Returns false when the leader does not answer, does not watch the store itself, or does not know of its
    // era, as one of an older version of this program.
    boost::asio::awaitable<bool> follow_once(boost::asio::ip::tcp::endpoint leader) {
        const fleet::replication_request request{
            m_replica.revision(), std::chrono::duration_cast<std::chrono::milliseconds>(leader_request_wait)};
        const auto reply = co_await request_records(m_executor, leader, request,
                                                    leader_request_wait + leader_request_margin);
        const bool is_of_earlier_era = reply && reply->revision.era < m_era.known();
        if (!reply || !reply->watches_store || is_of_earlier_era) {
            m_watches_store = true;
            m_leader_lost_store = reply.has_value();
            m_follow_not_before = base::monotonic_now() + follow_retry_delay;
            base::log(base::log_level::info, "leader-not-followed",
                      {{"leader", leader.address().to_string()}, {"answered", reply.has_value()}});
            co_return false;
        }
        m_health.record_leader_failure(reply->time_since_failure, base::monotonic_now());
        merge_reply(*reply, leader);
        co_return true;
    }

    boost::asio::awaitable<void> fetch_records_from_peer() {
        const auto peers = m_find_peers();
        if (peers.empty()) {
            co_return;
        }
        const auto& peer = peers[m_random() % peers.size()];
        const fleet::replication_request request{m_replica.revision(), {}};
        const auto reply = co_await request_records(m_executor, peer, request, peer_request_timeout);
        if (reply) {
            merge_reply(*reply, peer);
        }
    }

    // Merges the records of another gateway. Ignores a reply that is older than the local replica.
    void merge_reply(const fleet::replication_reply& reply, const boost::asio::ip::tcp::endpoint& from) {
        if (reply.revision < m_replica.revision()) {
            return;
        }
        if (reply.revision.era > m_replica.revision().era && !m_replica.empty()) {
            m_era.observe(reply.revision.era, base::monotonic_now());
            if (reply.complete && !m_health.is_reachable()) {
                merge_listing(reply.records, reply.revision);
            }
            return; // lists the store itself while it can be reached
        }
        std::vector<fleet::store_record> changes;
        if (reply.complete) {
            changes = m_replica.replace_all(reply.records, reply.revision);
        } else {
            for (const auto& item : reply.records) {
                if (m_replica.apply(item)) {
                    changes.push_back(item);
                }
            }
            m_replica.advance(reply.revision);
        }
        if (!changes.empty()) {
            base::log(m_health.is_reachable() ? base::log_level::debug : base::log_level::info,
                      "facts-from-peer",
                      {{"peer", from.address().to_string()},
                       {"changes", changes.size()},
                       {"revision", reply.revision}});
            // A peer whose contact with the store has been stable can confirm removals, even while this
            // gateway has no contact.
            const bool is_settled = reply.time_since_failure >= fleet::store_health::settling_time;
            m_on_records(changes, is_settled ? removal_certainty::confirmed : removal_certainty::unconfirmed);
        }
    }

    removal_certainty own_removal_certainty() const {
        return m_health.is_settled(base::monotonic_now()) ? removal_certainty::confirmed
                                                          : removal_certainty::unconfirmed;
    }

    boost::asio::awaitable<void> maintain_registration() {
        fleet::store_retry_pacing pacing(call_timeout);
        while (!m_deregistered) {
            const auto started = base::monotonic_now();
            bool kept = false;
            if (m_lease_id == 0) {
                kept = co_await create_registration();
            } else {
                kept = co_await renew_lease();
                if (!kept && m_lease_id == 0) {
                    kept = co_await create_registration();
                }
            }
            if (kept) {
                pacing.record_success();
                co_await pause(m_lease_timer, m_lease.renew_interval);
            } else {
                co_await pause(m_lease_timer, pacing.pause_after_failure(base::monotonic_now() - started,
                                                                         registration_backoff));
            }
        }
        if (m_lease_id != 0) {
            co_await m_lease_channel.call(Platform::revoke_call(m_lease_id), call_timeout);
        }
    }

    boost::asio::awaitable<bool> create_registration() {
        const auto granted = co_await call_lease_channel(Platform::grant_call(m_lease.lifetime));
        const auto lease =
            granted ? Platform::read_lease(granted->status, granted->body) : fleet::store_lease{};
        if (lease.status != fleet::store_status::done) {
            co_return false;
        }
        const auto written =
            co_await call_lease_channel(Platform::register_call(m_own_registration, lease.id));
        if (!written || Platform::read_status(written->status) != fleet::store_status::done) {
            co_return false;
        }
        m_lease_id = lease.id;
        base::log(base::log_level::info, "own-entry-made", {{"lease", m_lease_id}});
        co_return true;
    }

    boost::asio::awaitable<bool> renew_lease() {
        const auto response = co_await call_lease_channel(Platform::renew_call(m_lease_id));
        const auto status = response ? Platform::read_status(response->status) : fleet::store_status::refused;
        if (status == fleet::store_status::missing) {
            m_lease_id = 0;
            co_return false;
        }
        co_return status == fleet::store_status::done;
    }

    boost::asio::awaitable<std::optional<store_response>> call_lease_channel(fleet::store_call call) {
        auto response = co_await m_lease_channel.call(std::move(call), call_timeout);
        const auto order = response ? observe_era(*response) : fleet::era_order::current;
        if (order == fleet::era_order::older) {
            response.reset();
        }
        if (!response || (order == fleet::era_order::newer && !m_replica.empty())) {
            // The store does not answer, or has been restored; without this the pending watch would notice
            // only at its own timeout.
            m_watch_channel.interrupt();
        }
        co_return response;
    }

    base::duration random_part_of(base::duration longest) {
        return base::duration{
            std::uniform_int_distribution<base::duration::rep>{0, longest.count()}(m_random)};
    }

    void record_store_failure(fleet::store_status status) {
        if (m_health.is_reachable()) {
            base::log(base::log_level::warning, "store-lost",
                      {{"status", static_cast<int>(status)}, {"revision", m_replica.revision()}});
        }
        m_health.record_failure(base::monotonic_now());
    }

    void record_store_success() {
        if (m_health.record_success()) {
            base::log(base::log_level::info, "store-regained", {{"revision", m_replica.revision()}});
        }
    }

    static boost::asio::awaitable<void> pause(boost::asio::steady_timer& timer, base::duration length) {
        timer.expires_after(length);
        boost::system::error_code ended_early;
        co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ended_early));
    }

    boost::asio::any_io_executor m_executor;
    fleet::gateway_registration m_own_registration;
    fleet::registration_lease m_lease;
    fleet::store_replica& m_replica;
    records_handler m_on_records;
    restore_handler m_on_restore;
    peers_function m_find_peers;
    leader_function m_find_leader;
    store_channel m_watch_channel; // for listing and watch
    store_channel m_lease_channel; // for the lease and the registration
    boost::asio::steady_timer m_watch_timer;
    boost::asio::steady_timer m_lease_timer;
    std::minstd_rand m_random;
    fleet::store_health m_health;
    fleet::store_era m_era;
    std::optional<base::time_point> m_restore_settles_at; // while lost keys stay in force
    bool m_listed = false;                                // in the known era
    bool m_watches_store = true;                          // false while a leader is followed
    bool m_leader_lost_store = false;       // as the leader has answered, and the store was not watched since
    base::time_point m_follow_not_before{}; // earliest time to follow a leader again
    std::int64_t m_lease_id = 0;            // 0: none
    bool m_deregistered = false;
};

} // namespace carawayway::gateway
