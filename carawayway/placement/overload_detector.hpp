// Distinguishes a sustained overload of a service from a short queue.
#pragma once

#include "carawayway/base/time.hpp"

#include <map>
#include <string>

namespace carawayway::placement {

// With more requests than the servers can run, one long queue would make every answer late, although the
// servers run as many requests as with a short queue. While nearly all requests would be late, those that
// would be queued and answered late are refused, so that the others are answered in time. A short-lived queue
// is served, late or not.
class overload_detector {
public:
    // Shares of recent requests that would be late, at which an overload starts and ends.
    static constexpr double overload_start_share = 0.95;
    static constexpr double overload_end_share = 0.4;
    // Of the moving average; longer than the queue that a burst of one second leaves.
    static constexpr base::duration time_constant = std::chrono::milliseconds{2000};

    // Records an arriving request. `late` tells whether its answer would miss the target latency.
    void record_request(const std::string& service, bool late, base::time_point now);

    bool is_overloaded(const std::string& service) const;

private:
    struct state {
        double late_share = 0.0;
        bool overloaded = false;
        base::time_point last_request_at{};
    };

    std::map<std::string, state> m_services;
};

} // namespace carawayway::placement
