// Limits how fast the share of requests that run in another region may change.
#pragma once

#include "carawayway/base/time.hpp"

#include <cstdint>
#include <map>
#include <random>
#include <string>

namespace carawayway::placement {

// Why a request runs in another region.
enum class region_shift_reason : std::uint8_t {
    planned, // its object is diverted; the diverted share changes slowly by itself
    urgent,  // servers of its own region would answer later
};

// Counts requests in windows as long as those over which operators check the cap. Each gateway sees only its
// own requests, often few in a window, so the allowed number is rounded up or down at random: the sum over
// many gateways then stays within the cap.
class region_shift_limiter {
public:
    static constexpr base::duration window = std::chrono::seconds{2};
    // Part of the cap that urgent shifts use. The windows of operators are not aligned with those of a
    // gateway, and the planned shifts change at the same time.
    static constexpr double usable_cap_share = 0.6;

    region_shift_limiter(std::string home_region, double cap, std::uint32_t seed = std::random_device{}())
        : m_home_region(std::move(home_region)), m_cap(cap), m_random(seed) {}

    // Whether an urgent shift to the region is allowed now. Urgent shifts stay below a part of the cap, since
    // all of them may end at once, and the share of a region may exceed that of the previous window by at
    // most the same part.
    bool allows(const std::string& region, base::time_point now);
    // Records that a request runs in the region.
    void record_request(const std::string& region, region_shift_reason reason, base::time_point now);

private:
    struct counts {
        double total = 0.0;
        double urgent = 0.0;
        std::map<std::string, double> by_region;

        double share_of(const std::string& region) const;
    };

    // Starts a new window when the current one is over.
    void advance_window(base::time_point now);

    std::string m_home_region;
    double m_cap; // share of requests that may change their region from one window to the next
    std::minstd_rand m_random;
    base::time_point m_window_start{};
    double m_rounding = 0.0; // 0..1, random for each window
    counts m_current;
    counts m_previous;
};

} // namespace carawayway::placement
