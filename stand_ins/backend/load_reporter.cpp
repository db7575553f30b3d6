// Lagging and fixed load reports.
#include "stand_ins/backend/load_reporter.hpp"

namespace stand_ins {

void load_reporter::changed(std::uint32_t in_flight, carawayway::base::time_point now) {
    m_samples.push_back({now, in_flight});
    reported(now);
}

std::uint32_t load_reporter::reported(carawayway::base::time_point now) {
    while (m_samples.size() > 1 && m_samples[1].time <= now - m_lag) {
        m_samples.pop_front();
    }
    if (m_fixed) {
        return *m_fixed;
    }
    const bool old_enough = !m_samples.empty() && m_samples.front().time <= now - m_lag;
    return old_enough ? m_samples.front().in_flight : 0;
}

} // namespace stand_ins
