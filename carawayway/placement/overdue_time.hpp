// Tells when an answer is so late that its server is probably at fault.
#pragma once

#include "carawayway/base/time.hpp"

namespace carawayway::placement {

// On the platform's servers, run times of one route and cache state vary by less than this factor.
constexpr int overdue_factor = 2;
// Covers network round trips and short queues, which the factor does not when the expected time is only some
// ten milliseconds.
constexpr base::duration overdue_margin = std::chrono::milliseconds{150};

// Returns the time after which an answer that was expected after `expected` is overdue.
constexpr base::duration overdue_after(base::duration expected) {
    return expected * overdue_factor + overdue_margin;
}

} // namespace carawayway::placement
