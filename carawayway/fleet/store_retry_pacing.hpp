// How soon calls to the store are repeated while they fail.
#pragma once

#include "carawayway/base/time.hpp"

#include <algorithm>
#include <cstdint>

namespace carawayway::fleet {

// A store that refuses calls at once gets no more of them than one that does not answer. The first failure
// is followed by a call soon, since it may be a single lost connection.
class store_retry_pacing {
public:
    // `call_timeout` limits how long a store that does not answer holds up a call.
    explicit store_retry_pacing(base::duration call_timeout) : m_call_timeout(call_timeout) {}

    void record_success() { m_failures = 0; }

    // Pause after a failed call that took `call_duration`. `backoff` is waited for in any case.
    base::duration pause_after_failure(base::duration call_duration, base::duration backoff) {
        const bool is_first = m_failures++ == 0;
        const auto remaining = std::max(base::duration::zero(), m_call_timeout - call_duration);
        return backoff + (is_first ? base::duration::zero() : remaining);
    }

    // Failures since the last success.
    std::uint32_t failures() const { return m_failures; }

private:
    base::duration m_call_timeout;
    std::uint32_t m_failures = 0;
};

} // namespace carawayway::fleet
