// Load balancing over the backend servers of one service that this entry instance owns.
#pragma once

#include "carawayway/base/time.hpp"
#include "carawayway/steering/backend_server.hpp"
#include "carawayway/steering/server_spec.hpp"
#include "carawayway/steering/sparse_set.hpp"

#include <algorithm>
#include <cassert>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace carawayway::steering {

// Chooses the better of two random servers with a free slot (power of two choices). Servers with a free slot
// are kept in index sets, and changes that occur with time (warm-up, recovery, ends of pauses) in an ordered
// set, so that no call scans all servers.
template <class Random = std::mt19937_64>
class server_pool {
public:
    explicit server_pool(pool_limits limits = {}, Random random = Random{})
        : m_limits(limits), m_random(std::move(random)) {}

    // Adds or updates a server. A known server keeps its requests in flight and its statistics.
    void upsert(const server_spec& spec, base::time_point now) {
        apply_due_changes(now);
        const auto found = m_by_name.find(spec.name);
        if (found != m_by_name.end()) {
            update_server(found->second, now,
                          [&spec, now](backend_server& server) { server.update(spec, now); });
            return;
        }
        const std::uint32_t index = allocate_index();
        m_records[index].server.emplace(spec, now);
        m_by_name.emplace(spec.name, index);
        m_success_rate_sum += m_records[index].server->success_rate();
        ++m_servers_in_rotation;
        refresh_aggregates(index, now);
    }

    void drain(std::string_view name, base::time_point now) {
        update_server(name, now, [now](backend_server& server) { server.drain(now); });
    }

    void undrain(std::string_view name, base::time_point now) {
        update_server(name, now, [now](backend_server& server) { server.undrain(now); });
    }

    // Requests in flight may still complete afterwards.
    void remove(std::string_view name, base::time_point now) {
        update_server(name, now, [](backend_server& server) { server.remove(); });
    }

    // To be called when the caches of a server are cold: it has restarted or was absent.
    void restart_warm_up(std::string_view name, base::time_point now) {
        update_server(name, now, [now](backend_server& server) { server.restart_warm_up(now); });
    }

    // Chooses a server and counts the request as in flight. None when no server has a free slot.
    std::optional<server_handle> reserve(base::time_point now) {
        apply_due_changes(now);
        const auto index = choose_server(now);
        if (!index) {
            return std::nullopt;
        }
        return dispatch(*index, now);
    }

    // Chooses a server with nothing in flight, which then gets no other request until this one completes.
    std::optional<server_handle> reserve_idle(base::time_point now) {
        apply_due_changes(now);
        const sparse_set& candidates = m_totals.healthy > 0 ? m_idle_eligible : m_idle_fallback;
        if (candidates.empty()) {
            return std::nullopt;
        }
        const std::uint32_t index = best_of_two(candidates, now);
        const server_handle handle = dispatch(index, now);
        assert(server_at(index).in_flight() == 1);
        update_server(index, now, [](backend_server& server) { server.isolate(); });
        return handle;
    }

    // Ends a reservation. A handle whose server is gone or has nothing in flight is counted as stale and
    // changes nothing else.
    void complete(server_handle handle, completion_kind kind, base::duration latency, base::time_point now) {
        apply_due_changes(now);
        if (!is_in_use(handle)) {
            ++m_stale_completions;
            return;
        }
        --m_in_flight;
        update_timeout_share(server_at(handle.index), kind);
        const double jitter = static_cast<double>(m_random() >> 11U) * 0x1p-53;
        update_server(handle.index, now, [&](backend_server& server) {
            const pool_statistics statistics{m_typical_latency, m_success_rate_sum, m_servers_in_rotation,
                                             m_timeout_share, jitter};
            server.record_completion(kind, latency, statistics, m_limits, now);
        });
        update_latencies(kind, latency);
    }

    // Records the load that a server reports about itself. It makes the server's score worse, with a weight
    // that decreases with the report's age, and never excludes the server.
    void record_load_report(std::string_view name, std::uint32_t in_flight, base::duration age,
                            base::time_point now) {
        update_server(name, now,
                      [=](backend_server& server) { server.record_load_report(in_flight, age, now); });
    }

    // Name of the server; empty for a stale handle.
    std::string_view name(server_handle handle) const {
        if (!is_current(handle)) {
            return {};
        }
        return server_at(handle.index).spec().name;
    }

    std::uint32_t in_flight() const { return m_in_flight; }

    std::uint32_t in_flight(std::string_view name) const {
        const auto found = m_by_name.find(std::string(name));
        return found == m_by_name.end() ? 0 : server_at(found->second).in_flight();
    }

    // Slots of the servers that get requests at present. Isolated servers are included, since they are
    // available again after one request.
    std::uint32_t usable_slots(base::time_point now) const {
        apply_due_changes(now);
        return m_totals.healthy > 0 ? m_totals.eligible_slots : m_totals.fallback_slots;
    }

    std::uint32_t free_slots(base::time_point now) const {
        apply_due_changes(now);
        return m_totals.healthy > 0 ? m_totals.eligible_free_slots : m_totals.fallback_free_slots;
    }

    // Whether at least one server is healthy or due for a probe. Otherwise requests should go to another
    // entry instance if possible.
    bool is_healthy(base::time_point now) const {
        apply_due_changes(now);
        return m_totals.healthy > 0 || !m_probe_candidates.empty();
    }

    // The next time at which a slot may become usable without an event: waiting requests should be tried
    // again then.
    std::optional<base::time_point> next_change() const {
        if (m_changes.empty()) {
            return std::nullopt;
        }
        return m_changes.begin()->first;
    }

    // Moving average of the latency of answered requests.
    std::optional<base::duration> typical_latency() const { return m_typical_latency; }

    // Estimate of the 98th percentile of the latency.
    std::optional<base::duration> tail_latency() const { return m_tail_latency; }

    std::uint64_t stale_completions() const { return m_stale_completions; }

    // Status of all servers, sorted by name.
    std::vector<server_status> status(base::time_point now) const {
        apply_due_changes(now);
        std::vector<server_status> result;
        result.reserve(m_by_name.size());
        for (const auto& [name, index] : m_by_name) {
            result.push_back(server_at(index).status(m_limits, now));
        }
        std::sort(result.begin(), result.end(), [](const server_status& left, const server_status& right) {
            return left.name < right.name;
        });
        return result;
    }

private:
    // What a server contributes to the totals.
    struct contribution {
        server_eligibility eligibility = server_eligibility::ineligible;
        std::uint32_t concurrency_limit = 0;
        std::uint32_t free = 0;
        std::uint32_t healthy = 0;
        std::uint32_t isolated_slots = 0;
    };

    struct server_record {
        std::optional<backend_server> server;
        std::uint32_t generation = 0;
        contribution counted;
        std::optional<base::time_point> next_change;
    };

    struct totals {
        std::uint32_t healthy = 0;
        std::uint32_t eligible_slots = 0; // includes healthy isolated servers
        std::uint32_t eligible_free_slots = 0;
        std::uint32_t fallback_slots = 0; // includes servers due for a probe
        std::uint32_t fallback_free_slots = 0;
    };

    static constexpr std::uint32_t latency_samples = 64; // the newest sample has the weight 1/64
    static constexpr double tail_quantile = 0.98;
    static constexpr double tail_step_factor = 0.2; // of the typical latency

    backend_server& server_at(std::uint32_t index) {
        assert(m_records[index].server.has_value());
        return *m_records[index].server;
    }
    const backend_server& server_at(std::uint32_t index) const {
        assert(m_records[index].server.has_value());
        return *m_records[index].server;
    }

    bool is_current(server_handle handle) const {
        return handle.index < m_records.size() && m_records[handle.index].server.has_value() &&
               m_records[handle.index].generation == handle.generation;
    }

    bool is_in_use(server_handle handle) const {
        return is_current(handle) && server_at(handle.index).in_flight() > 0;
    }

    std::uint32_t allocate_index() {
        if (m_free_indices.empty()) {
            m_records.emplace_back();
            return static_cast<std::uint32_t>(m_records.size() - 1);
        }
        const std::uint32_t index = m_free_indices.back();
        m_free_indices.pop_back();
        return index;
    }

    template <class Change>
    void update_server(std::string_view name, base::time_point now, Change&& apply) {
        apply_due_changes(now);
        const auto found = m_by_name.find(std::string(name));
        if (found != m_by_name.end()) {
            update_server(found->second, now, std::forward<Change>(apply));
        }
    }

    // Applies a change to a server and updates the sums and index sets. During the change, the sums do not
    // include this server.
    template <class Change>
    void update_server(std::uint32_t index, base::time_point now, Change&& apply) {
        backend_server& server = server_at(index);
        if (server.is_in_rotation()) {
            m_success_rate_sum -= server.success_rate();
            --m_servers_in_rotation;
        }
        apply(server);
        if (server.is_in_rotation()) {
            m_success_rate_sum += server.success_rate();
            ++m_servers_in_rotation;
        }
        refresh_aggregates(index, now);
        if (server.state() == server_state::gone && server.in_flight() == 0) {
            release(index);
        }
    }

    void release(std::uint32_t index) {
        m_by_name.erase(server_at(index).spec().name);
        m_records[index].server.reset();
        ++m_records[index].generation;
        m_free_indices.push_back(index);
    }

    std::optional<std::uint32_t> choose_server(base::time_point now) {
        if (!m_probe_candidates.empty()) {
            return m_probe_candidates[random_below(m_probe_candidates.size())];
        }
        if (m_totals.healthy == 0) {
            // The last usable servers stay in use, although they are ejected or paused.
            return m_fallback.empty() ? std::nullopt : std::optional(best_of_two(m_fallback, now));
        }
        return m_eligible.empty() ? std::nullopt : std::optional(best_of_two(m_eligible, now));
    }

    std::uint32_t best_of_two(const sparse_set& candidates, base::time_point now) {
        const std::size_t count = candidates.size();
        const std::size_t first = random_below(count);
        if (count == 1) {
            return candidates[first];
        }
        const std::size_t other = random_below(count - 1);
        const std::uint32_t left = candidates[first];
        const std::uint32_t right = candidates[other < first ? other : other + 1];
        return score(right, now) < score(left, now) ? right : left;
    }

    double score(std::uint32_t index, base::time_point now) const {
        return server_at(index).score(m_records[index].counted.concurrency_limit, m_typical_latency, m_limits,
                                      now);
    }

    std::size_t random_below(std::size_t bound) {
        // Multiplication instead of a remainder: the bias is below 2^-32 for the sizes used here.
        return static_cast<std::size_t>(((m_random() >> 32U) * bound) >> 32U);
    }

    server_handle dispatch(std::uint32_t index, base::time_point now) {
        assert(m_records[index].counted.free > 0);
        update_server(index, now, [now](backend_server& server) { server.record_dispatch(now); });
        ++m_in_flight;
        return {index, m_records[index].generation};
    }

    // Counts only the first timeout of a server since its last response, so that one stalled server does not
    // make timeouts look common.
    void update_timeout_share(const backend_server& server, completion_kind kind) {
        if (server.has_recent_losses() ||
            (kind != completion_kind::answered && kind != completion_kind::timed_out)) {
            return;
        }
        const double timed_out = kind == completion_kind::timed_out ? 1.0 : 0.0;
        m_timeout_share += (timed_out - m_timeout_share) / latency_samples;
    }

    void update_latencies(completion_kind kind, base::duration latency) {
        if (kind != completion_kind::answered && kind != completion_kind::timed_out) {
            return;
        }
        if (kind == completion_kind::answered) {
            m_latency_sample_count = std::min(m_latency_sample_count + 1, latency_samples);
            m_typical_latency = m_typical_latency ? *m_typical_latency + (latency - *m_typical_latency) /
                                                                             m_latency_sample_count
                                                  : latency;
        }
        if (!m_tail_latency) {
            m_tail_latency = 2 * latency;
            return;
        }
        const double step =
            tail_step_factor * static_cast<double>(m_typical_latency.value_or(latency).count());
        const double move = latency > *m_tail_latency ? step * tail_quantile : -step * (1.0 - tail_quantile);
        *m_tail_latency += base::duration{static_cast<base::duration::rep>(move)};
    }

    // Applies the changes that are due at `now`.
    void apply_due_changes(base::time_point now) const {
        while (!m_changes.empty() && m_changes.begin()->first <= now) {
            const std::uint32_t index = m_changes.begin()->second;
            m_records[index].server->end_warm_up_if_due(now);
            refresh_aggregates(index, now);
        }
    }

    void refresh_aggregates(std::uint32_t index, base::time_point now) const {
        server_record& record = m_records[index];
        const backend_server& server = *record.server;
        add_to_totals(record.counted, -1);
        record.counted.eligibility = server.eligibility(now);
        record.counted.concurrency_limit = server.concurrency_limit(m_limits, now);
        record.counted.free =
            record.counted.concurrency_limit - std::min(record.counted.concurrency_limit, server.in_flight());
        record.counted.healthy = server.is_healthy(now) ? 1 : 0;
        const bool isolated = server.is_isolated() && server.is_healthy(now);
        record.counted.isolated_slots = isolated ? record.counted.concurrency_limit : 0;
        add_to_totals(record.counted, +1);
        const bool has_free_slot = record.counted.free > 0;
        const bool is_idle = has_free_slot && server.in_flight() == 0;
        const bool is_eligible = record.counted.eligibility == server_eligibility::eligible;
        const bool is_probe = record.counted.eligibility == server_eligibility::probe;
        const bool is_fallback = is_probe || record.counted.eligibility == server_eligibility::fallback;
        m_eligible.set_presence(index, presence_of(has_free_slot && is_eligible));
        m_probe_candidates.set_presence(index, presence_of(has_free_slot && is_probe));
        m_fallback.set_presence(index, presence_of(has_free_slot && is_fallback));
        m_idle_eligible.set_presence(index, presence_of(is_idle && is_eligible));
        m_idle_fallback.set_presence(index, presence_of(is_idle && is_fallback));
        schedule_change(index, server.next_change(m_limits, now));
    }

    static presence presence_of(bool condition) { return condition ? presence::present : presence::absent; }

    void add_to_totals(const contribution& part, int sign) const {
        const auto factor = static_cast<std::uint32_t>(sign);
        m_totals.healthy += factor * part.healthy;
        m_totals.eligible_slots += factor * part.isolated_slots;
        if (part.eligibility == server_eligibility::eligible) {
            m_totals.eligible_slots += factor * part.concurrency_limit;
            m_totals.eligible_free_slots += factor * part.free;
        } else if (part.eligibility != server_eligibility::ineligible) {
            m_totals.fallback_slots += factor * part.concurrency_limit;
            m_totals.fallback_free_slots += factor * part.free;
        }
    }

    void schedule_change(std::uint32_t index, std::optional<base::time_point> next) const {
        server_record& record = m_records[index];
        if (record.next_change == next) {
            return;
        }
        if (record.next_change) {
            m_changes.erase({*record.next_change, index});
        }
        if (next) {
            m_changes.emplace(*next, index);
        }
        record.next_change = next;
    }

    pool_limits m_limits;
    Random m_random;
    std::unordered_map<std::string, std::uint32_t> m_by_name; // includes gone servers with requests in flight
    std::vector<std::uint32_t> m_free_indices;
    std::uint32_t m_in_flight = 0; // sum over all servers, gone ones included
    std::uint64_t m_stale_completions = 0;
    double m_success_rate_sum = 0.0; // over the m_servers_in_rotation servers
    std::uint32_t m_servers_in_rotation = 0;
    std::optional<base::duration> m_typical_latency;
    std::optional<base::duration> m_tail_latency;
    std::uint32_t m_latency_sample_count = 0;
    double m_timeout_share = 0.0;

    // The members below depend on time; const queries update them, too.
    mutable std::vector<server_record> m_records;
    mutable std::set<std::pair<base::time_point, std::uint32_t>> m_changes; // next_change of each record
    mutable totals m_totals;
    mutable sparse_set m_eligible;         // eligible servers with a free slot
    mutable sparse_set m_fallback;         // fallback servers and probe candidates, with a free slot
    mutable sparse_set m_probe_candidates; // servers due for a probe, with a free slot
    mutable sparse_set m_idle_eligible;    // of m_eligible, those with nothing in flight
    mutable sparse_set m_idle_fallback;    // of m_fallback, those with nothing in flight
};

} // namespace carawayway::steering
