// Common load balancing rules without learned state, as baselines for server_pool.
#pragma once

#include "carawayway/steering/server_spec.hpp"

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace carawayway::bench {

enum class baseline_rule : std::uint8_t { random_choice, round_robin, least_in_flight };

// Has the functions of server_pool that the experiment uses. Scans all servers on each call.
class baseline_pool {
public:
    baseline_pool(baseline_rule rule, std::uint64_t seed) : m_rule(rule), m_random(seed) {}

    void upsert(const steering::server_spec& spec, base::time_point /*now*/) {
        m_servers.push_back({spec.slots, 0});
    }

    std::optional<steering::server_handle> reserve(base::time_point /*now*/) {
        std::vector<std::uint32_t> candidates;
        for (std::uint32_t index = 0; index < m_servers.size(); ++index) {
            if (m_servers[index].in_flight < m_servers[index].slots) {
                candidates.push_back(index);
            }
        }
        if (candidates.empty()) {
            return std::nullopt;
        }
        const std::uint32_t index = choose(candidates);
        ++m_servers[index].in_flight;
        return steering::server_handle{index, 0};
    }

    void complete(steering::server_handle handle, steering::completion_kind kind, base::duration latency,
                  base::time_point /*now*/) {
        --m_servers[handle.index].in_flight;
        if (kind == steering::completion_kind::answered) {
            m_typical_latency = m_typical_latency
                                    ? *m_typical_latency + (latency - *m_typical_latency) / latency_samples
                                    : latency;
        }
    }

    std::uint32_t usable_slots(base::time_point /*now*/) const {
        std::uint32_t sum = 0;
        for (const server& item : m_servers) {
            sum += item.slots;
        }
        return sum;
    }

    std::optional<base::duration> typical_latency() const { return m_typical_latency; }
    std::optional<base::duration> tail_latency() const { return std::nullopt; }

private:
    struct server {
        std::uint32_t slots;
        std::uint32_t in_flight;
    };

    static constexpr int latency_samples = 64;

    std::uint32_t choose(const std::vector<std::uint32_t>& candidates) {
        switch (m_rule) {
        case baseline_rule::random_choice:
            break;
        case baseline_rule::round_robin:
            return next_after_last(candidates);
        case baseline_rule::least_in_flight:
            return least_loaded(candidates);
        }
        return candidates[m_random() % candidates.size()];
    }

    std::uint32_t next_after_last(const std::vector<std::uint32_t>& candidates) {
        for (const std::uint32_t index : candidates) {
            if (index > m_last) {
                return m_last = index;
            }
        }
        return m_last = candidates.front();
    }

    // Starts at a random server, so that ties are broken at random.
    std::uint32_t least_loaded(const std::vector<std::uint32_t>& candidates) {
        const std::size_t offset = m_random() % candidates.size();
        std::uint32_t best = candidates[offset];
        for (std::size_t step = 1; step < candidates.size(); ++step) {
            const std::uint32_t index = candidates[(offset + step) % candidates.size()];
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
    std::optional<base::duration> m_typical_latency;
};

} // namespace carawayway::bench
