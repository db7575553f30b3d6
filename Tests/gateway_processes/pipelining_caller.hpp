// Caller that sends look-ups over one connection without waiting for the response to the one before.
#pragma once

#include "Tests/gateway_processes/gateway_fleet.hpp"

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace carawayway::gateway_processes {

struct pipelined_requests {
    std::size_t answered = 0;
    std::vector<std::string> unanswered; // IDs of requests that were sent
    bool was_close_announced = false;    // by "Connection: close" in the last response

    bool operator==(const pipelined_requests&) const = default;
};

// Sends a look-up each `interval` on one connection, whether those before were answered or not, until the
// gateway closes it. A request for which `is_last` is true asks the gateway to do so.
pipelined_requests send_until_closed(
    gateway_fleet& fleet, std::size_t gateway, std::chrono::milliseconds interval, const std::string& path,
    const std::function<bool()>& is_last = [] { return false; });

} // namespace carawayway::gateway_processes
