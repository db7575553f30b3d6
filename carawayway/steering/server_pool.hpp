// Chooses among the backend servers of one service that this entry instance owns.
#pragma once

#include "carawayway/base/time.hpp"
#include "carawayway/steering/backend_server.hpp"
#include "carawayway/steering/dense_index.hpp"
#include "carawayway/steering/server_spec.hpp"

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

// The better of two random servers with room. Servers with room are kept in an index, and changes that come
// with time alone (warm-up, recovery, end of pauses) in an ordered set, so that no call scans all servers.
template <class Random = std::mt19937_64>
class server_pool {
public:
    explicit server_pool(pool_limits limits = {}, Random random = Random{})
        : m_limits(limits), m_random(std::move(random)) {}

    // A known server keeps its in-flight count and learned state.
    void upsert(const server_spec& spec, base::time_point now) {
        advance(now);
        const auto found = m_by_name.find(spec.name);
        if (found != m_by_name.end()) {
            change(found->second, now, [&spec, now](backend_server& server) { server.update(spec, now); });
            return;
        }
        const std::uint32_t index = free_place();
        m_places[index].server.emplace(spec, now);
        m_by_name.emplace(spec.name, index);
        m_success_sum += m_places[index].server->success();
        ++m_compared;
        refresh(index, now);
    }

    void drain(std::string_view name, base::time_point now) {
        change(name, now, [now](backend_server& server) { server.drain(now); });
    }

    void undrain(std::string_view name, base::time_point now) {
        change(name, now, [now](backend_server& server) { server.undrain(now); });
    }

    // Requests in flight may still complete afterwards.
    void remove(std::string_view name, base::time_point now) {
        change(name, now, [](backend_server& server) { server.remove(); });
    }

    // The server is new or back: its caches are cold.
    void restart_warm_up(std::string_view name, base::time_point now) {
        change(name, now, [now](backend_server& server) { server.restart_warm_up(now); });
    }

    // Chooses a server and counts the request in flight in one step.
    std::optional<server_handle> reserve(base::time_point now) {
        advance(now);
        const auto index = choose(now);
        if (!index) {
            return std::nullopt;
        }
        return dispatch(*index, now);
    }

    // A server with nothing in flight, which gets nothing else until the request completes.
    std::optional<server_handle> reserve_idle(base::time_point now) {
        advance(now);
        const dense_index& idle = m_totals.healthy > 0 ? m_idle : m_held_idle;
        if (idle.empty()) {
            return std::nullopt;
        }
        const std::uint32_t index = best_of_two(idle, now);
        const server_handle handle = dispatch(index, now);
        assert(server_at(index).in_flight() == 1);
        change(index, now, [](backend_server& server) { server.isolate(); });
        return handle;
    }

    // A handle whose server is gone, or has nothing in flight, is counted as stale and changes nothing.
    void complete(server_handle handle, completion_kind kind, base::duration latency, base::time_point now) {
        advance(now);
        if (!valid(handle)) {
            ++m_stale_completions;
            return;
        }
        --m_in_flight;
        learn_timeouts(server_at(handle.index), kind);
        const double jitter = static_cast<double>(m_random() >> 11U) * 0x1p-53;
        change(handle.index, now, [&](backend_server& server) {
            const pool_view view{m_typical, m_success_sum, m_compared, m_timeout_share, jitter};
            server.completed(kind, latency, view, m_limits, now);
        });
        learn_latency(kind, latency);
    }

    // The load that the server reports about itself. It lowers the server's rank, the less the older it is,
    // and never stops steering to it.
    void record_load_report(std::string_view name, std::uint32_t in_flight, base::duration age,
                            base::time_point now) {
        change(name, now, [=](backend_server& server) { server.record_load_report(in_flight, age, now); });
    }

    // Empty for a stale handle.
    std::string_view name(server_handle handle) const {
        if (!current(handle)) {
            return {};
        }
        return server_at(handle.index).spec().name;
    }

    std::uint32_t in_flight() const { return m_in_flight; }

    std::uint32_t in_flight(std::string_view name) const {
        const auto found = m_by_name.find(std::string(name));
        return found == m_by_name.end() ? 0 : server_at(found->second).in_flight();
    }

    // Slots of the servers that requests go to at present. Isolated servers are included: they are back after
    // one request.
    std::uint32_t usable_slots(base::time_point now) const {
        advance(now);
        return m_totals.healthy > 0 ? m_totals.open_slots : m_totals.held_slots;
    }

    std::uint32_t free_slots(base::time_point now) const {
        advance(now);
        return m_totals.healthy > 0 ? m_totals.open_free : m_totals.held_free;
    }

    // Whether a server is healthy or due for a probe. Otherwise requests are better sent elsewhere, if there
    // is an elsewhere.
    bool is_healthy(base::time_point now) const {
        advance(now);
        return m_totals.healthy > 0 || !m_probes.empty();
    }

    // When a slot may next become usable by time alone: waiting requests should then be tried again.
    std::optional<base::time_point> next_change() const {
        if (m_changes.empty()) {
            return std::nullopt;
        }
        return m_changes.begin()->first;
    }

    // Moving average of answered requests.
    std::optional<base::duration> typical_latency() const { return m_typical; }

    // A latency that about 98% of requests stay below.
    std::optional<base::duration> tail_latency() const { return m_high; }

    std::uint64_t stale_completions() const { return m_stale_completions; }

    // In order of name.
    std::vector<server_status> status(base::time_point now) const {
        advance(now);
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
    // What a server last added to the totals and indexes.
    struct contribution {
        placement place = placement::closed;
        std::uint32_t limit = 0;
        std::uint32_t free = 0;
        std::uint32_t healthy = 0;
        std::uint32_t isolated_slots = 0;
    };

    struct place_entry {
        std::optional<backend_server> server;
        std::uint32_t generation = 0;
        contribution counted;
        std::optional<base::time_point> next_change;
    };

    struct totals {
        std::uint32_t healthy = 0;
        std::uint32_t open_slots = 0; // includes healthy isolated servers
        std::uint32_t open_free = 0;
        std::uint32_t held_slots = 0; // includes servers to probe
        std::uint32_t held_free = 0;
    };

    static constexpr std::uint32_t latency_samples = 64; // weight of the newest is 1/64
    static constexpr double high_share = 0.98;
    static constexpr double high_step = 0.2; // of the typical latency

    backend_server& server_at(std::uint32_t index) {
        assert(m_places[index].server.has_value());
        return *m_places[index].server;
    }
    const backend_server& server_at(std::uint32_t index) const {
        assert(m_places[index].server.has_value());
        return *m_places[index].server;
    }

    bool current(server_handle handle) const {
        return handle.index < m_places.size() && m_places[handle.index].server.has_value() &&
               m_places[handle.index].generation == handle.generation;
    }

    bool valid(server_handle handle) const {
        return current(handle) && server_at(handle.index).in_flight() > 0;
    }

    std::uint32_t free_place() {
        if (m_free_places.empty()) {
            m_places.emplace_back();
            return static_cast<std::uint32_t>(m_places.size() - 1);
        }
        const std::uint32_t index = m_free_places.back();
        m_free_places.pop_back();
        return index;
    }

    template <class Change>
    void change(std::string_view name, base::time_point now, Change&& apply) {
        advance(now);
        const auto found = m_by_name.find(std::string(name));
        if (found != m_by_name.end()) {
            change(found->second, now, std::forward<Change>(apply));
        }
    }

    // Applies a change to a server and brings sums and indexes up to date. During the change the sums leave
    // this server out.
    template <class Change>
    void change(std::uint32_t index, base::time_point now, Change&& apply) {
        backend_server& server = server_at(index);
        if (server.compared()) {
            m_success_sum -= server.success();
            --m_compared;
        }
        apply(server);
        if (server.compared()) {
            m_success_sum += server.success();
            ++m_compared;
        }
        refresh(index, now);
        if (server.state() == server_state::gone && server.in_flight() == 0) {
            release(index);
        }
    }

    void release(std::uint32_t index) {
        m_by_name.erase(server_at(index).spec().name);
        m_places[index].server.reset();
        ++m_places[index].generation;
        m_free_places.push_back(index);
    }

    std::optional<std::uint32_t> choose(base::time_point now) {
        if (!m_probes.empty()) {
            return m_probes[random_below(m_probes.size())];
        }
        if (m_totals.healthy == 0) {
            // The last usable servers are never ejected.
            return m_held.empty() ? std::nullopt : std::optional(best_of_two(m_held, now));
        }
        return m_open.empty() ? std::nullopt : std::optional(best_of_two(m_open, now));
    }

    std::uint32_t best_of_two(const dense_index& index, base::time_point now) {
        const std::size_t count = index.size();
        const std::size_t first = random_below(count);
        if (count == 1) {
            return index[first];
        }
        const std::size_t other = random_below(count - 1);
        const std::uint32_t left = index[first];
        const std::uint32_t right = index[other < first ? other : other + 1];
        return score(right, now) < score(left, now) ? right : left;
    }

    double score(std::uint32_t index, base::time_point now) const {
        return server_at(index).score(m_places[index].counted.limit, m_typical, m_limits, now);
    }

    std::size_t random_below(std::size_t bound) {
        // Multiplication instead of a remainder: the bias is below 2^-32 for the sizes used here.
        return static_cast<std::size_t>(((m_random() >> 32U) * bound) >> 32U);
    }

    server_handle dispatch(std::uint32_t index, base::time_point now) {
        assert(m_places[index].counted.free > 0);
        change(index, now, [now](backend_server& server) { server.dispatched(now); });
        ++m_in_flight;
        return {index, m_places[index].generation};
    }

    // A stalled server counts once, so that its own timeouts do not pass for common ones.
    void learn_timeouts(const backend_server& server, completion_kind kind) {
        if (server.in_doubt() || (kind != completion_kind::answered && kind != completion_kind::timed_out)) {
            return;
        }
        const double timed_out = kind == completion_kind::timed_out ? 1.0 : 0.0;
        m_timeout_share += (timed_out - m_timeout_share) / latency_samples;
    }

    void learn_latency(completion_kind kind, base::duration latency) {
        if (kind != completion_kind::answered && kind != completion_kind::timed_out) {
            return;
        }
        if (kind == completion_kind::answered) {
            m_samples = std::min(m_samples + 1, latency_samples);
            m_typical = m_typical ? *m_typical + (latency - *m_typical) / m_samples : latency;
        }
        if (!m_high) {
            m_high = 2 * latency;
            return;
        }
        const double step = high_step * static_cast<double>(m_typical.value_or(latency).count());
        const double move = latency > *m_high ? step * high_share : -step * (1.0 - high_share);
        *m_high += base::duration{static_cast<base::duration::rep>(move)};
    }

    // Applies all changes that are due by time alone.
    void advance(base::time_point now) const {
        while (!m_changes.empty() && m_changes.begin()->first <= now) {
            const std::uint32_t index = m_changes.begin()->second;
            m_places[index].server->advance(now);
            refresh(index, now);
        }
    }

    void refresh(std::uint32_t index, base::time_point now) const {
        place_entry& entry = m_places[index];
        const backend_server& server = *entry.server;
        add(entry.counted, -1);
        entry.counted.place = server.place(now);
        entry.counted.limit = server.limit(m_limits, now);
        entry.counted.free = entry.counted.limit - std::min(entry.counted.limit, server.in_flight());
        entry.counted.healthy = server.healthy(now) ? 1 : 0;
        const bool isolated = server.isolated() && server.healthy(now);
        entry.counted.isolated_slots = isolated ? entry.counted.limit : 0;
        add(entry.counted, +1);
        const bool room = entry.counted.free > 0;
        const bool idle = room && server.in_flight() == 0;
        const bool open = entry.counted.place == placement::open;
        const bool probe = entry.counted.place == placement::probe;
        const bool held = probe || entry.counted.place == placement::held;
        m_open.set(index, member(room && open));
        m_probes.set(index, member(room && probe));
        m_held.set(index, member(room && held));
        m_idle.set(index, member(idle && open));
        m_held_idle.set(index, member(idle && held));
        schedule(index, server.next_change(m_limits, now));
    }

    static presence member(bool condition) { return condition ? presence::present : presence::absent; }

    void add(const contribution& part, int sign) const {
        const auto factor = static_cast<std::uint32_t>(sign);
        m_totals.healthy += factor * part.healthy;
        m_totals.open_slots += factor * part.isolated_slots;
        if (part.place == placement::open) {
            m_totals.open_slots += factor * part.limit;
            m_totals.open_free += factor * part.free;
        } else if (part.place != placement::closed) {
            m_totals.held_slots += factor * part.limit;
            m_totals.held_free += factor * part.free;
        }
    }

    void schedule(std::uint32_t index, std::optional<base::time_point> next) const {
        place_entry& entry = m_places[index];
        if (entry.next_change == next) {
            return;
        }
        if (entry.next_change) {
            m_changes.erase({*entry.next_change, index});
        }
        if (next) {
            m_changes.emplace(*next, index);
        }
        entry.next_change = next;
    }

    pool_limits m_limits;
    Random m_random;
    std::unordered_map<std::string, std::uint32_t> m_by_name; // includes gone servers with requests in flight
    std::vector<std::uint32_t> m_free_places;
    std::uint32_t m_in_flight = 0; // sum over all servers, gone ones included
    std::uint64_t m_stale_completions = 0;
    double m_success_sum = 0.0; // of the m_compared servers
    std::uint32_t m_compared = 0;
    std::optional<base::duration> m_typical;
    std::optional<base::duration> m_high;
    std::uint32_t m_samples = 0;
    double m_timeout_share = 0.0;

    // What follows depends on time and is brought up to date by queries too.
    mutable std::vector<place_entry> m_places;
    mutable std::set<std::pair<base::time_point, std::uint32_t>> m_changes; // next_change of each place
    mutable totals m_totals;
    mutable dense_index m_open;      // open servers with room
    mutable dense_index m_held;      // held servers and servers to probe, with room
    mutable dense_index m_probes;    // servers to probe, with room
    mutable dense_index m_idle;      // of m_open, those with nothing in flight
    mutable dense_index m_held_idle; // of m_held, those with nothing in flight
};

} // namespace carawayway::steering
