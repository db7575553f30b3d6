// When a caller sends a request again, from what it knows about the last attempt.
#pragma once

#include "carawayway/base/error_kind.hpp"
#include "carawayway/base/time.hpp"
#include "carawayway/config/policy.hpp"

#include <cstdint>
#include <optional>

namespace carawayway::bench {

// What the caller saw of one attempt that brought no result.
struct failed_attempt {
    base::execution_state execution = base::execution_state::unknown;
    base::retry_advice advice = base::retry_advice::never;
    std::optional<base::error_kind> kind; // none: the connection failed or was refused
    base::duration retry_after{};

    bool operator==(const failed_attempt&) const = default;
};

enum class resend_action : std::uint8_t {
    give_up,
    same_id,    // to the same entry instance, with the same request ID
    fresh_id,   // to the same entry instance, with a fresh request ID
    next_entry, // to the next entry instance of the look-up answer, with a request ID of that one
};

struct resend_decision {
    resend_action action = resend_action::give_up;
    base::duration wait{};

    bool operator==(const resend_decision&) const = default;
};

struct resend_limits {
    std::uint32_t sends = 4; // attempts at one request, the first included
    // Used when the answer gives no Retry-After; doubled with each attempt.
    base::duration back_off = std::chrono::milliseconds(50);
    base::duration least_remaining = std::chrono::milliseconds(100); // less time is not worth a resend

    bool operator==(const resend_limits&) const = default;
};

// `sends` counts the attempts so far and `remaining` is the time left until the deadline.
resend_decision decide_resend(const failed_attempt& attempt, config::request_semantics semantics,
                              std::uint32_t sends, base::duration remaining, const resend_limits& limits);

// A backend server that sheds a request gives no advice: another server is asked at once, from the second
// time on after a pause.
resend_decision decide_direct_resend(std::uint32_t sends, base::duration remaining,
                                     const resend_limits& limits);

} // namespace carawayway::bench
