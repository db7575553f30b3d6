// A share of objects that is diverted to other servers and changes gradually.
#pragma once

#include "carawayway/base/time.hpp"

#include <algorithm>
#include <cstdint>

namespace carawayway::placement {

// Objects are chosen by their hash, so that all gateways divert the same ones.
class diverted_share {
public:
    static constexpr double maximum_share = 0.9;

    // Changes the share by `rate_per_second` times the time since the last update; a negative rate lowers it.
    void adjust(double rate_per_second, base::time_point now) {
        // Longer gaps count as this much, since the load between two distant requests is unknown.
        static constexpr double maximum_step_seconds = 0.5;
        const double step = std::min(base::to_seconds(now - m_updated_at), maximum_step_seconds);
        m_updated_at = now;
        m_share = std::clamp(m_share + rate_per_second * step, 0.0, maximum_share);
    }

    void reset(double share, base::time_point now) {
        m_share = std::clamp(share, 0.0, maximum_share);
        m_updated_at = now;
    }

    // Whether the object is diverted. Shares with different salts choose objects independently.
    bool contains(std::uint64_t object, std::uint64_t salt) const {
        constexpr double hash_range = 18446744073709551616.0; // 2^64
        std::uint64_t value = (object ^ salt) * 0xd6e8feb86659fd93ULL;
        value ^= value >> 32U;
        value *= 0xd6e8feb86659fd93ULL;
        value ^= value >> 32U;
        return static_cast<double>(value) / hash_range < m_share;
    }

    double share() const { return m_share; }

private:
    double m_share = 0.0; // 0 <= m_share <= maximum_share
    base::time_point m_updated_at{};
};

} // namespace carawayway::placement
