// Interface that carries out one planned request. Implemented by the callers of entry instances and by the
// baseline balancers that send directly to the servers.
#pragma once

#include "bench/load/arrival_schedule.hpp"
#include "bench/load/outcome_summary.hpp"

#include <boost/asio/awaitable.hpp>

namespace carawayway::bench {

// One-way network delays between callers and the deployment.
struct caller_delays {
    base::duration own_region{};   // to processes in the caller's home region
    base::duration other_region{}; // to processes in other regions
};

class request_sender {
public:
    request_sender() = default;
    request_sender(const request_sender&) = delete;
    request_sender& operator=(const request_sender&) = delete;
    request_sender(request_sender&&) = delete;
    request_sender& operator=(request_sender&&) = delete;
    virtual ~request_sender() = default;

    // `planned` is the planned time of arrival; an answer after `deadline` is late.
    virtual boost::asio::awaitable<request_report> send(arrival request, base::time_point planned,
                                                        base::time_point deadline) = 0;
};

} // namespace carawayway::bench
