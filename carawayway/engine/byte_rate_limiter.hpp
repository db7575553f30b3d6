// A token bucket that keeps the bytes of messages within a rate. Heartbeats and summaries have one each, so
// that the control traffic of an entry instance is bounded regardless of its number of links.
#pragma once

#include "carawayway/base/time.hpp"

#include <algorithm>
#include <cstddef>

namespace carawayway::engine {

class byte_rate_limiter {
public:
    // `burst` is the largest number of bytes that can accumulate while little is sent.
    byte_rate_limiter(double bytes_per_second, double burst, base::time_point now)
        : m_rate(bytes_per_second), m_burst(burst), m_available(burst), m_refilled_at(now) {}

    bool allows(std::size_t bytes, base::time_point now) {
        refill(now);
        return m_available >= static_cast<double>(bytes);
    }

    // The balance may go below zero for messages that have to be sent; later messages then wait longer.
    void spend(std::size_t bytes, base::time_point now) {
        refill(now);
        m_available -= static_cast<double>(bytes);
    }

    // Interval between messages of this size that keeps them within the rate.
    base::duration interval_for(std::size_t bytes) const {
        return std::chrono::duration_cast<base::duration>(
            std::chrono::duration<double>(static_cast<double>(bytes) / m_rate));
    }

private:
    void refill(base::time_point now) {
        m_available = std::min(m_burst, m_available + m_rate * base::to_seconds(now - m_refilled_at));
        m_refilled_at = now;
    }

    double m_rate;      // bytes per second
    double m_burst;     // bytes
    double m_available; // at most m_burst
    base::time_point m_refilled_at;
};

} // namespace carawayway::engine
