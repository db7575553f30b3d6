// Reports the load with a lag, or a fixed value.
#include "stand_ins/backend/load_reporter.hpp"

namespace stand_ins {

void load_reporter::add_sample(std::uint32_t in_flight, carawayway::base::time_point now) {
    m_samples.push_back({now, in_flight});
    reported_load(now);
}

std::uint32_t load_reporter::reported_load(carawayway::base::time_point now) {
    while (m_samples.size() > 1 && m_samples[1].time <= now - m_lag) {
        m_samples.pop_front();
    }
    if (m_fixed_value) {
        return *m_fixed_value;
    }
    const bool old_enough = !m_samples.empty() && m_samples.front().time <= now - m_lag;
    return old_enough ? m_samples.front().in_flight : 0;
}

} // namespace stand_ins
