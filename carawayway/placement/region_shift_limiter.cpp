// Counts the requests that run in other regions in time windows.
#include "carawayway/placement/region_shift_limiter.hpp"

#include <algorithm>

namespace carawayway::placement {

double region_shift_limiter::counts::share_of(const std::string& region) const {
    const auto found = by_region.find(region);
    return found == by_region.end() || total <= 0.0 ? 0.0 : found->second / total;
}

void region_shift_limiter::advance_window(base::time_point now) {
    if (m_window_start != base::time_point{} && now < m_window_start + window) {
        return;
    }
    const bool adjacent = now < m_window_start + 2 * window;
    m_previous = adjacent ? m_current : counts{};
    m_current = {};
    m_window_start = now;
    m_rounding = std::uniform_real_distribution<double>{0.0, 1.0}(m_random);
}

bool region_shift_limiter::allows(const std::string& region, base::time_point now) {
    advance_window(now);
    if (region == m_home_region) {
        return true;
    }
    const double allowance = m_cap * usable_cap_share;
    const double requests = std::max(m_current.total + 1.0, m_previous.total / 2);
    if (m_current.urgent + 1.0 > allowance * requests + m_rounding) {
        return false;
    }
    // Without a previous window, the share so far in this one is the baseline.
    const double previous_share =
        m_previous.total > 0.0 ? m_previous.share_of(region) : m_current.share_of(region);
    const auto found = m_current.by_region.find(region);
    const double shifted = found == m_current.by_region.end() ? 0.0 : found->second;
    return shifted + 1.0 <= (previous_share + allowance) * requests + m_rounding;
}

void region_shift_limiter::record_request(const std::string& region, region_shift_reason reason,
                                          base::time_point now) {
    advance_window(now);
    m_current.total += 1.0;
    if (region == m_home_region) {
        return;
    }
    m_current.by_region[region] += 1.0;
    m_current.urgent += reason == region_shift_reason::urgent ? 1.0 : 0.0;
}

} // namespace carawayway::placement
