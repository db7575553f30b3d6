// Times of a planned stop of a gateway, from the signal to the end of the process.
#pragma once

#include "carawayway/base/time.hpp"

#include <algorithm>

namespace carawayway::gateway {

struct stop_schedule {
    // Callers move to other gateways during this time; until they have, they may still open new connections.
    static constexpr base::duration longest_accept_time = std::chrono::milliseconds{3000};
    // From the end of the admission of all requests until connections are no longer accepted. Covers the
    // delay with which the signal is noticed: the platform counts from when it sent it.
    static constexpr base::duration admission_margin = std::chrono::milliseconds{200};
    // Requests in progress end this long before the platform kills the process.
    static constexpr base::duration longest_response_margin = std::chrono::milliseconds{400};

    base::time_point admits_until{};  // requests that may not end in time
    base::time_point accepts_until{}; // new connections
    base::time_point requests_end{};  // requests without a response get their last one
    base::time_point process_ends{};

    bool operator==(const stop_schedule&) const = default;

    // `grace` is the time from the signal until the platform kills the process.
    static stop_schedule after_signal(base::time_point signalled_at, base::duration grace) {
        const auto accept_time = std::min(longest_accept_time, grace / 2);
        const auto response_margin = std::min(longest_response_margin, grace / 8);
        return {signalled_at + accept_time - std::min(admission_margin, accept_time),
                signalled_at + accept_time, signalled_at + grace - response_margin,
                signalled_at + grace - response_margin / 2};
    }

    // Whether a request that arrives now and has until `deadline` is taken. Late in the stop only those are
    // that end in time whatever their server does.
    bool takes(base::time_point now, base::time_point deadline) const {
        return now < admits_until || deadline <= requests_end;
    }
};

} // namespace carawayway::gateway
