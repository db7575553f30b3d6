// Decides whether and how a caller resends a request after a failed attempt.
#pragma once

#include "carawayway/base/error_kind.hpp"
#include "carawayway/base/time.hpp"
#include "carawayway/config/policy.hpp"

#include <cstdint>
#include <optional>

namespace carawayway::bench {

// What the caller knows about an attempt that failed.
struct failed_attempt {
    base::execution_state execution = base::execution_state::unknown;
    base::retry_advice advice = base::retry_advice::never;
    std::optional<base::error_kind> kind; // empty if there was no error response
    base::duration retry_after{};

    bool operator==(const failed_attempt&) const = default;
};

enum class resend_action : std::uint8_t {
    give_up,
    same_id,    // to the same entry instance, with the same request ID
    fresh_id,   // to the same entry instance, with a fresh request ID
    next_entry, // to the next entry instance of the look-up answer, with a fresh request ID issued there
};

struct resend_decision {
    resend_action action = resend_action::give_up;
    base::duration wait{};

    bool operator==(const resend_decision&) const = default;
};

struct resend_limits {
    std::uint32_t maximum_sends = 4; // attempts for one request, including the first
    // Used if the answer has no Retry-After; doubles with each attempt.
    base::duration back_off = std::chrono::milliseconds(50);
    // With less time left until the deadline, a request is not resent.
    base::duration minimum_remaining = std::chrono::milliseconds(100);

    bool operator==(const resend_limits&) const = default;
};

// `sends` is the number of attempts so far, `remaining` the time until the deadline.
resend_decision decide_resend(const failed_attempt& attempt, config::request_semantics semantics,
                              std::uint32_t sends, base::duration remaining, const resend_limits& limits);

// For requests that go directly to backend servers, which give no retry advice when they shed a request: the
// first resend is immediate, later ones follow after a back-off.
resend_decision decide_direct_resend(std::uint32_t sends, base::duration remaining,
                                     const resend_limits& limits);

} // namespace carawayway::bench
