// Rate-limited log for per-request lines.
#pragma once

#include "carawayway/base/log.hpp"
#include "carawayway/base/time.hpp"

#include <algorithm>
#include <cstdint>

namespace carawayway::gateway {

// A token bucket: lines above the limit are counted, and the count is logged before the next line that is
// written. This keeps logging from taking processor time from requests under overload.
class rate_limited_log {
public:
    static constexpr double lines_per_second = 50.0;
    static constexpr double burst_lines = 100.0;

    void write(base::log_level level, std::string_view event, std::initializer_list<base::log_field> fields,
               base::time_point now) {
        m_tokens = std::min(burst_lines, m_tokens + lines_per_second * base::to_seconds(now - m_refilled_at));
        m_refilled_at = now;
        if (m_tokens < 1.0) {
            ++m_dropped_lines;
            return;
        }
        m_tokens -= 1.0;
        if (m_dropped_lines > 0) {
            base::log(base::log_level::warning, "log-lines-dropped", {{"lines", m_dropped_lines}});
            m_dropped_lines = 0;
        }
        base::log(level, event, fields);
    }

private:
    double m_tokens = burst_lines; // 0 <= m_tokens <= burst_lines
    base::time_point m_refilled_at{};
    std::uint64_t m_dropped_lines = 0;
};

} // namespace carawayway::gateway
