// Common choice rules without learned state, for comparison with server_pool.
#pragma once

#include "carawayway/steering/server_spec.hpp"

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace carawayway::bench {

enum class baseline_rule : std::uint8_t { random_choice, round_robin, least_in_flight };

// Offers the calls of server_pool that the experiment uses. Scans all servers on each call.
class baseline_pool {
public:
    baseline_pool(baseline_rule rule, std::uint64_t seed) : m_rule(rule), m_random(seed) {}

    void upsert(const steering::server_spec& spec, base::time_point /*now*/) {
        m_servers.push_back({spec.slots, 0});
    }

    std::optional<steering::server_handle> reserve(base::time_point /*now*/) {
        std::vector<std::uint32_t> room;
        for (std::uint32_t index = 0; index < m_servers.size(); ++index) {
            if (m_servers[index].in_flight < m_servers[index].slots) {
                room.push_back(index);
            }
        }
        if (room.empty()) {
            return std::nullopt;
        }
        const std::uint32_t index = choose(room);
        ++m_servers[index].in_flight;
        return steering::server_handle{index, 0};
    }

    void complete(steering::server_handle handle, steering::completion_kind kind, base::duration latency,
                  base::time_point /*now*/) {
        --m_servers[handle.index].in_flight;
        if (kind == steering::completion_kind::answered) {
            m_typical = m_typical ? *m_typical + (latency - *m_typical) / latency_samples : latency;
        }
    }

    std::uint32_t usable_slots(base::time_point /*now*/) const {
        std::uint32_t sum = 0;
        for (const server& item : m_servers) {
            sum += item.slots;
        }
        return sum;
    }

    std::optional<base::duration> typical_latency() const { return m_typical; }
    std::optional<base::duration> tail_latency() const { return std::nullopt; }

private:
    struct server {
        std::uint32_t slots;
        std::uint32_t in_flight;
    };

    static constexpr int latency_samples = 64;

    std::uint32_t choose(const std::vector<std::uint32_t>& room) {
        switch (m_rule) {
        case baseline_rule::random_choice:
            break;
        case baseline_rule::round_robin:
            return next_after_last(room);
        case baseline_rule::least_in_flight:
            return least_loaded(room);
        }
        return room[m_random() % room.size()];
    }

    std::uint32_t next_after_last(const std::vector<std::uint32_t>& room) {
        for (const std::uint32_t index : room) {
            if (index > m_last) {
                return m_last = index;
            }
        }
        return m_last = room.front();
    }

    // The first of several equal ones counted from a random place.
    std::uint32_t least_loaded(const std::vector<std::uint32_t>& room) {
        const std::size_t offset = m_random() % room.size();
        std::uint32_t best = room[offset];
        for (std::size_t step = 1; step < room.size(); ++step) {
            const std::uint32_t index = room[(offset + step) % room.size()];
            if (m_servers[index].in_flight < m_servers[best].in_flight) {
                best = index;
            }
        }
        return best;
    }

    baseline_rule m_rule;
    std::mt19937_64 m_random;
    std::vector<server> m_servers;
    std::uint32_t m_last = 0;
    std::optional<base::duration> m_typical;
};

} // namespace carawayway::bench
