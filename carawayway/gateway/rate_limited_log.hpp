// Log lines about requests, bounded in number.
#pragma once

#include "carawayway/base/log.hpp"
#include "carawayway/base/time.hpp"

#include <algorithm>
#include <cstdint>

namespace carawayway::gateway {

// Lines beyond the bound are counted and reported with the next line that is written, so that overload does
// not cost processor time that requests need.
class call_log {
public:
    static constexpr double lines_per_second = 50.0;
    static constexpr double burst = 100.0;

    void write(base::log_level level, std::string_view event, std::initializer_list<base::log_field> fields,
               base::time_point now) {
        m_allowance = std::min(burst, m_allowance + lines_per_second * base::to_seconds(now - m_last));
        m_last = now;
        if (m_allowance < 1.0) {
            ++m_dropped;
            return;
        }
        m_allowance -= 1.0;
        if (m_dropped > 0) {
            base::log(base::log_level::warning, "log-lines-dropped", {{"lines", m_dropped}});
            m_dropped = 0;
        }
        base::log(level, event, fields);
    }

private:
    double m_allowance = burst; // 0 <= m_allowance <= burst
    base::time_point m_last{};
    std::uint64_t m_dropped = 0;
};

} // namespace carawayway::gateway
