// Draws all arrivals from one Poisson process and assigns each to a service and region in proportion to the
// rates.
#include "bench/load/arrival_schedule.hpp"

#include <numeric>

namespace carawayway::bench {

arrival_schedule::arrival_schedule(const std::vector<std::vector<double>>& rates, std::size_t callers,
                                   std::uint64_t seed)
    : m_callers(callers), m_random(seed) {
    std::vector<double> weights;
    for (std::size_t service = 0; service < rates.size(); ++service) {
        for (std::size_t region = 0; region < rates[service].size(); ++region) {
            m_streams.push_back({service, region});
            weights.push_back(rates[service][region]);
        }
    }
    m_gap = std::exponential_distribution<double>(std::accumulate(weights.begin(), weights.end(), 0.0));
    m_next_stream = std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
}

arrival arrival_schedule::next() {
    m_last += std::chrono::duration_cast<base::duration>(std::chrono::duration<double>(m_gap(m_random)));
    const stream& chosen = m_streams[m_next_stream(m_random)];
    return {m_last, chosen.service, chosen.region, m_random() % m_callers};
}

} // namespace carawayway::bench
