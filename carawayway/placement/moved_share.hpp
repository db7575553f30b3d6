// A share of objects that follows a load slowly, with the same objects moving at every gateway.
#pragma once

#include "carawayway/base/time.hpp"

#include <algorithm>
#include <cstdint>

namespace carawayway::placement {

class moved_share {
public:
    static constexpr double most = 0.9;

    // `direction` above 0 raises the share, below 0 lowers it; in parts a second.
    void change(double direction, base::time_point now) {
        // Longer gaps count as this much: the load between two requests far apart is not known.
        static constexpr double longest_step_seconds = 0.5;
        const double step = std::min(base::to_seconds(now - m_updated), longest_step_seconds);
        m_updated = now;
        m_share = std::clamp(m_share + direction * step, 0.0, most);
    }

    void begin(double share, base::time_point now) {
        m_share = std::clamp(share, 0.0, most);
        m_updated = now;
    }

    // Whether the object is among those that move. `salt` makes choices of several shares independent.
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
    double m_share = 0.0; // 0 <= m_share <= most
    base::time_point m_updated{};
};

} // namespace carawayway::placement
