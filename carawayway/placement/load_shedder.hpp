// Decides which requests are rejected while a service gets more than its servers can run in time.
#pragma once

#include "carawayway/base/time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace carawayway::placement {

// Rejecting a part of the requests keeps queues short, so that the others are answered in time. The part is
// controlled by the share of reports from servers that tell of queues which are too long, since a gateway
// sees too few requests of one server to know its queue. A mean of the loads would let a few slow servers
// cause rejections that the others have room for. Which requests are rejected is decided by rank: lower
// priorities first, and within a priority those that are late in any case. The region that would serve a
// request does not matter, so that the share that each region serves stays the same.
class load_shedder {
public:
    // Of the share of reports with too long a queue.
    static constexpr base::duration load_time_constant = std::chrono::milliseconds{300};
    // Of one report in that average, at most: a gateway with few requests must not go by a single server.
    static constexpr double largest_report_weight = 0.2;
    // Of the counts of requests by rank, and of the average slack.
    static constexpr base::duration demand_time_constant = std::chrono::seconds{1};
    // Without a report for this long, nothing is known of the load.
    static constexpr base::duration maximum_report_age = std::chrono::seconds{2};
    // Share of reports with a queue in which the slack of a request runs out, above which requests are
    // rejected: fewer are answered in time by then than late.
    static constexpr double permitted_share = 0.65;
    // Of the controller of the rejected part. The error is the share beyond the permitted one, as a part of
    // the rest.
    static constexpr double proportional_gain = 1.0;
    static constexpr double integral_gain_per_second = 0.3;
    // No rank is rejected as a whole, so that none starves.
    static constexpr double largest_rejected_part = 0.9;

    struct arrival {
        const std::string& service;
        std::uint32_t priority = 0; // 0 is the highest
        // Time until the target latency is missed, without the time that the answer takes when no request
        // waits; negative for a request that is late in any case.
        base::duration slack{};
        base::duration mean_run_time{}; // of the requests of the service
    };

    // Records the load that a server has reported: requests in progress divided by slots.
    void record_load(const std::string& service, double load, base::time_point now);

    // Counts the request, and returns whether it is to be rejected. `draw` is spread evenly over 0..1.
    bool rejects(const arrival& arrived, double draw, base::time_point now);

    // Part of the requests that is rejected now, 0..1.
    double rejected_part(const std::string& service, base::time_point now) const;

private:
    // Requests of a higher rank are rejected first.
    using request_rank = std::pair<std::uint32_t, bool>; // priority, and whether it is late in any case

    struct state {
        double queued_share = 0.0; // of reports
        base::time_point load_reported_at{};
        std::map<request_rank, double> recent_requests; // decayed counts
        double slack_seconds = 0.0;                     // average of requests that are not late
        double run_seconds = 0.0;                       // mean run time, as of the last request
        double integral = 0.0;
        double rejected_part = 0.0; // 0..largest_rejected_part
        base::time_point updated_at{};
    };

    static void update(state& current, const arrival& arrived, base::time_point now);

    std::map<std::string, state> m_states; // by service
};

} // namespace carawayway::placement
