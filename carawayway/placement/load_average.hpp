// Exponential moving average of the load that servers report.
#pragma once

#include "carawayway/base/time.hpp"

#include <algorithm>
#include <cmath>

namespace carawayway::placement {

// Load is requests in progress divided by slots; above 1, requests are queued. Reports are weighted by
// elapsed time and not by their number, since a busy server sends more of them.
class load_average {
public:
    static constexpr base::duration time_constant = std::chrono::milliseconds{1200};
    // An average without a report for this long is stale.
    static constexpr base::duration maximum_age = std::chrono::seconds{5};

    void add(double load, base::time_point now) {
        const double elapsed = base::to_seconds(now - m_last_report_at) / base::to_seconds(time_constant);
        const double weight =
            m_last_report_at == base::time_point{} ? 1.0 : 1.0 - std::exp(-std::max(0.0, elapsed));
        m_load += weight * (load - m_load);
        m_last_report_at = now;
    }

    double load() const { return m_load; }
    bool is_current(base::time_point now) const {
        return m_last_report_at != base::time_point{} && now - m_last_report_at <= maximum_age;
    }

private:
    double m_load = 0.0;
    base::time_point m_last_report_at{};
};

} // namespace carawayway::placement
