// Spreads messages over time so that their bytes stay within a rate. Heartbeats and summaries each have one,
// because the control traffic of an entry instance is limited whatever the number of its links.
#pragma once

#include "carawayway/base/time.hpp"

#include <algorithm>
#include <cstddef>

namespace carawayway::engine {

class byte_budget {
public:
    // `burst` is the most that can be saved up while little is sent.
    byte_budget(double bytes_per_second, double burst, base::time_point now)
        : m_rate(bytes_per_second), m_burst(burst), m_available(burst), m_filled_at(now) {}

    bool allows(std::size_t bytes, base::time_point now) {
        fill(now);
        return m_available >= static_cast<double>(bytes);
    }

    // May go below zero: what must be sent is paid for by what is not sent later.
    void spend(std::size_t bytes, base::time_point now) {
        fill(now);
        m_available -= static_cast<double>(bytes);
    }

    // How far apart messages of this size have to be to stay within the rate.
    base::duration spacing(std::size_t bytes) const {
        return std::chrono::duration_cast<base::duration>(
            std::chrono::duration<double>(static_cast<double>(bytes) / m_rate));
    }

private:
    void fill(base::time_point now) {
        m_available = std::min(m_burst, m_available + m_rate * base::to_seconds(now - m_filled_at));
        m_filled_at = now;
    }

    double m_rate;      // bytes per second
    double m_burst;     // bytes
    double m_available; // at most m_burst
    base::time_point m_filled_at;
};

} // namespace carawayway::engine
