// Bounds how fast the share of requests that run in another region may change.
#pragma once

#include "carawayway/base/time.hpp"

#include <map>
#include <string>

namespace carawayway::placement {

// Counts in windows of the length over which operators check the cap. Within a window the share of each other
// region may rise above that of the window before by a part of the cap, since each gateway sees only its own
// requests.
class region_shift_guard {
public:
    static constexpr base::duration window = std::chrono::seconds{2};
    // Part of the cap that one gateway uses, as the windows of operators are not aligned with its own.
    static constexpr double used_share = 0.6;
    // Requests that are always allowed: shares of few requests say nothing.
    static constexpr double free_requests = 3.0;

    region_shift_guard(std::string home, double cap) : m_home(std::move(home)), m_cap(cap) {}

    bool allows(const std::string& region, base::time_point now);
    void ran(const std::string& region, base::time_point now);

private:
    void roll(base::time_point now);
    static double total(const std::map<std::string, double>& counts);

    std::string m_home;
    double m_cap; // share of requests that may change region from one window to the next
    base::time_point m_window_start{};
    std::map<std::string, double> m_current;
    std::map<std::string, double> m_previous;
};

} // namespace carawayway::placement
