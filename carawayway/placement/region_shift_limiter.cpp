// Windows of region shares.
#include "carawayway/placement/region_shift_limiter.hpp"

#include <algorithm>

namespace carawayway::placement {

double region_shift_limiter::counts::share_of(const std::string& region) const {
    const auto found = by_region.find(region);
    return found == by_region.end() || all <= 0.0 ? 0.0 : found->second / all;
}

void region_shift_limiter::roll(base::time_point now) {
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
    roll(now);
    if (region == m_home) {
        return true;
    }
    const double allowance = m_cap * used_share;
    const double requests = std::max(m_current.all + 1.0, m_previous.all / 2);
    if (m_current.urgent + 1.0 > allowance * requests + m_rounding) {
        return false;
    }
    // Without a window before, the planned moves of this one stand for it.
    const double before = m_previous.all > 0.0 ? m_previous.share_of(region) : m_current.share_of(region);
    const auto found = m_current.by_region.find(region);
    const double ran = found == m_current.by_region.end() ? 0.0 : found->second;
    return ran + 1.0 <= (before + allowance) * requests + m_rounding;
}

void region_shift_limiter::ran(const std::string& region, region_move reason, base::time_point now) {
    roll(now);
    m_current.all += 1.0;
    if (region == m_home) {
        return;
    }
    m_current.by_region[region] += 1.0;
    m_current.urgent += reason == region_move::urgent ? 1.0 : 0.0;
}

} // namespace carawayway::placement
