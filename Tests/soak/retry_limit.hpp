// Checks that all gateways together keep the limit on the retries of a service.
#pragma once

#include "Tests/soak/run_record.hpp"

#include <optional>
#include <string>
#include <vector>

namespace carawayway::soak {

// In any window, servers may receive `share` repeats for each request of callers, and `slack` more.
struct retry_limit {
    double share = 0.2;
    double slack = 0.0;
    std::chrono::milliseconds window{10'000};
};

struct retry_limit_input {
    std::vector<arrival> arrivals;
    std::vector<clock::time_point> sent; // when callers sent their requests
};

// Describes the window with the largest excess. Requests count in the window, in the one before it or in the
// one that begins half a window earlier, whichever has most.
std::optional<std::string> find_retry_excess(const retry_limit& limit, const retry_limit_input& input);

} // namespace carawayway::soak
