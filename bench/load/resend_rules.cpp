// Implements the resend rules of the caller protocol (section 4 of docs/design.md).
#include "bench/load/resend_rules.hpp"

#include <algorithm>

namespace carawayway::bench {

namespace {

base::duration back_off(std::uint32_t sends, const resend_limits& limits) {
    constexpr std::uint32_t maximum_doublings = 8;
    return limits.back_off * (1U << std::min(sends - 1, maximum_doublings));
}

// Resends only if enough time remains for an answer after the wait.
resend_decision resend_after(resend_action action, base::duration wait, base::duration remaining,
                             const resend_limits& limits) {
    if (wait + limits.minimum_remaining > remaining) {
        return {};
    }
    return {action, wait};
}

} // namespace

resend_decision decide_resend(const failed_attempt& attempt, config::request_semantics semantics,
                              std::uint32_t sends, base::duration remaining, const resend_limits& limits) {
    using enum base::execution_state;
    if (sends >= limits.maximum_sends) {
        return {};
    }
    const bool idempotent = semantics == config::request_semantics::idempotent;
    const bool unreachable = !attempt.kind && (attempt.execution == not_executed || idempotent);
    const bool leaving = attempt.kind == base::error_kind::stopping && attempt.execution == not_executed;
    if (unreachable || leaving) {
        return resend_after(resend_action::next_entry, {}, remaining, limits);
    }
    const base::duration wait =
        attempt.retry_after > base::duration::zero() ? attempt.retry_after : back_off(sends, limits);
    if (attempt.execution == not_executed) {
        const bool useful = attempt.advice == base::retry_advice::fresh_request_id;
        return useful ? resend_after(resend_action::fresh_id, wait, remaining, limits) : resend_decision{};
    }
    if (idempotent && attempt.advice != base::retry_advice::never) {
        return resend_after(resend_action::fresh_id, wait, remaining, limits);
    }
    // The outcome may still become known under the same ID. A fresh ID could execute the request a second
    // time.
    if (!attempt.kind || attempt.advice == base::retry_advice::same_request_id) {
        return resend_after(resend_action::same_id, wait, remaining, limits);
    }
    return {};
}

resend_decision decide_direct_resend(std::uint32_t sends, base::duration remaining,
                                     const resend_limits& limits) {
    if (sends >= limits.maximum_sends) {
        return {};
    }
    const base::duration wait = sends == 1 ? base::duration::zero() : back_off(sends - 1, limits);
    return resend_after(resend_action::fresh_id, wait, remaining, limits);
}

} // namespace carawayway::bench
