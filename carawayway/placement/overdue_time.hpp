// When an answer is late enough to say something about its server.
#pragma once

#include "carawayway/base/time.hpp"

namespace carawayway::placement {

// Run times of one route and state spread by less than this factor at the users' servers.
constexpr int overdue_factor = 2;
// Covers trips and short waits, which expected times of some ten milliseconds would not.
constexpr base::duration overdue_margin = std::chrono::milliseconds{150};

// Time after which an answer that was expected after `expected` is overdue.
constexpr base::duration overdue_after(base::duration expected) {
    return expected * overdue_factor + overdue_margin;
}

} // namespace carawayway::placement
