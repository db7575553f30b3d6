// Windows of region shares.
#include "carawayway/placement/region_shift_guard.hpp"

#include <algorithm>

namespace carawayway::placement {

double region_shift_guard::total(const std::map<std::string, double>& counts) {
    double sum = 0.0;
    for (const auto& [region, count] : counts) {
        sum += count;
    }
    return sum;
}

void region_shift_guard::roll(base::time_point now) {
    if (now < m_window_start + window) {
        return;
    }
    const bool adjacent = now < m_window_start + 2 * window;
    m_previous = adjacent ? m_current : std::map<std::string, double>{};
    m_current.clear();
    m_window_start = now;
}

bool region_shift_guard::allows(const std::string& region, base::time_point now) {
    roll(now);
    const double before = total(m_previous);
    if (region == m_home || before < 2 * free_requests) {
        return true;
    }
    const auto found = m_previous.find(region);
    const double share_before = found == m_previous.end() ? 0.0 : found->second / before;
    const double requests = std::max(total(m_current) + 1.0, before / 2);
    return m_current[region] + 1.0 <= (share_before + m_cap * used_share) * requests + free_requests;
}

void region_shift_guard::ran(const std::string& region, base::time_point now) {
    roll(now);
    m_current[region] += 1.0;
}

} // namespace carawayway::placement
