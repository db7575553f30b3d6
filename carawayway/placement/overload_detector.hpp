// Tells a lasting overload of a service from a short queue.
#pragma once

#include "carawayway/base/time.hpp"

#include <map>
#include <string>

namespace carawayway::placement {

// Answers the load pattern of more requests than the servers can run: in one long queue every answer is late,
// although the servers run as many requests as with a short one. While most requests would be late, those
// that would wait for a late answer are refused, so that the others are answered in time. A queue that passes
// is served, late or not.
class overload_detector {
public:
    // Share of recent requests that would be late, at which refusing begins and ends.
    static constexpr double begin_share = 0.95;
    static constexpr double end_share = 0.4;
    // Time over which the share is averaged: longer than a queue that a burst of a second leaves.
    static constexpr base::duration averaging_time = std::chrono::milliseconds{2000};

    // One request arrived; `late`: its answer would arrive behind its target latency.
    void arrived(const std::string& service, bool late, base::time_point now);

    bool is_overloaded(const std::string& service) const;

private:
    struct state {
        double late_share = 0.0;
        bool overloaded = false;
        base::time_point last{};
    };

    std::map<std::string, state> m_services;
};

} // namespace carawayway::placement
