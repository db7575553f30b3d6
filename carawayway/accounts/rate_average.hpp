// Exponential moving average of the rate of events.
#pragma once

#include "carawayway/base/time.hpp"

#include <algorithm>
#include <cmath>

namespace carawayway::accounts {

class rate_average {
public:
    static constexpr base::duration time_constant = std::chrono::seconds{1};

    void record(base::time_point now) {
        decay(now);
        m_per_second += 1.0 / base::to_seconds(time_constant);
    }

    double per_second(base::time_point now) const {
        const double age = std::max(0.0, base::to_seconds(now - m_updated_at));
        return m_per_second * std::exp(-age / base::to_seconds(time_constant));
    }

private:
    void decay(base::time_point now) {
        m_per_second = per_second(now);
        m_updated_at = now;
    }

    double m_per_second = 0.0;
    base::time_point m_updated_at{};
};

} // namespace carawayway::accounts
