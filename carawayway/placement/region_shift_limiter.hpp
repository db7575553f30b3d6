// Bounds how fast the share of requests that run in another region may change.
#pragma once

#include "carawayway/base/time.hpp"

#include <cstdint>
#include <map>
#include <random>
#include <string>

namespace carawayway::placement {

// Why a request runs in another region.
enum class region_move : std::uint8_t {
    planned, // its object is among those that move; their share changes slowly by itself
    urgent,  // its own region would answer later
};

// Counts in windows of the length over which operators check the cap. Each gateway sees only its own
// requests, often few in a window: fractions of a request are rounded at random, so that the sum over many
// gateways keeps the bound.
class region_shift_limiter {
public:
    static constexpr base::duration window = std::chrono::seconds{2};
    // Part of the cap that urgent moves use: windows of operators are not aligned with those of a gateway,
    // and planned moves change at the same time.
    static constexpr double used_share = 0.6;

    region_shift_limiter(std::string home, double cap, std::uint32_t seed = std::random_device{}())
        : m_home(std::move(home)), m_cap(cap), m_random(seed) {}

    // Whether an urgent move may be made. Urgent moves stay below a part of the cap, since all of them may
    // end at once, and the share of a region rises by at most as much above that of the window before.
    bool allows(const std::string& region, base::time_point now);
    void ran(const std::string& region, region_move reason, base::time_point now);

private:
    struct counts {
        double all = 0.0;
        double urgent = 0.0;
        std::map<std::string, double> by_region;

        double share_of(const std::string& region) const;
    };

    void roll(base::time_point now);

    std::string m_home;
    double m_cap; // share of requests that may change region from one window to the next
    std::minstd_rand m_random;
    base::time_point m_window_start{};
    double m_rounding = 0.0; // 0..1, of this window
    counts m_current;
    counts m_previous;
};

} // namespace carawayway::placement
