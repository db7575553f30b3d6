// How the tool carries out one planned request. Implemented by callers of entry instances and by the
// balancers that ask the servers directly.
#pragma once

#include "bench/load/arrival_schedule.hpp"
#include "bench/load/outcome_summary.hpp"

#include <boost/asio/awaitable.hpp>

namespace carawayway::bench {

// The one-way delays of a deployment, as callers meet them.
struct caller_delays {
    base::duration own_region{};   // to anything in the caller's home region
    base::duration other_region{}; // to anything elsewhere
};

class request_sender {
public:
    request_sender() = default;
    request_sender(const request_sender&) = delete;
    request_sender& operator=(const request_sender&) = delete;
    request_sender(request_sender&&) = delete;
    request_sender& operator=(request_sender&&) = delete;
    virtual ~request_sender() = default;

    // `planned` is the time of arrival; the answer has to be there at `deadline`.
    virtual boost::asio::awaitable<request_report> send(arrival request, base::time_point planned,
                                                        base::time_point deadline) = 0;
};

} // namespace carawayway::bench
