// Superposed Poisson streams: one stream of all services whose arrivals are assigned to services by rate.
#include "bench/load/arrival_schedule.hpp"

#include <numeric>

namespace carawayway::bench {

arrival_schedule::arrival_schedule(std::vector<double> rates, std::size_t regions, std::size_t callers,
                                   std::uint64_t seed)
    : m_regions(regions), m_callers(callers), m_random(seed),
      m_gap(std::accumulate(rates.begin(), rates.end(), 0.0)), m_service(rates.begin(), rates.end()) {}

arrival arrival_schedule::next() {
    m_last += std::chrono::duration_cast<base::duration>(std::chrono::duration<double>(m_gap(m_random)));
    arrival result;
    result.at = m_last;
    result.service = m_service(m_random);
    result.region = m_random() % m_regions;
    result.caller = m_random() % m_callers;
    return result;
}

} // namespace carawayway::bench
