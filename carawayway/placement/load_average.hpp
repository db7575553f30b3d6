// A moving average of reported load.
#pragma once

#include "carawayway/base/time.hpp"

#include <algorithm>
#include <cmath>

namespace carawayway::placement {

// Requests in progress over slots; above 1 requests wait. Weighted by time and not by the number of reports,
// since a busy server sends more of them.
class load_average {
public:
    static constexpr base::duration averaging_time = std::chrono::milliseconds{1200};
    // An average without reports for this long says nothing any more.
    static constexpr base::duration lifetime = std::chrono::seconds{5};

    void add(double load, base::time_point now) {
        const double age = base::to_seconds(now - m_at) / base::to_seconds(averaging_time);
        const double weight = m_at == base::time_point{} ? 1.0 : 1.0 - std::exp(-std::max(0.0, age));
        m_load += weight * (load - m_load);
        m_at = now;
    }

    double load() const { return m_load; }
    bool is_current(base::time_point now) const {
        return m_at != base::time_point{} && now - m_at <= lifetime;
    }

private:
    double m_load = 0.0;
    base::time_point m_at{}; // of the last report
};

} // namespace carawayway::placement
