// Tests when callers of the load tool resend a request.
#include "bench/load/resend_rules.hpp"

#include <gtest/gtest.h>

namespace carawayway::bench {
namespace {

using config::request_semantics;
using std::chrono::milliseconds;

failed_attempt failed_with(base::error_kind kind, base::duration retry_after = {}) {
    const auto& row = base::properties_of(kind);
    return {row.execution, row.advice, kind, retry_after};
}

// Guards against callers that resend before the requested delay and thereby add load during an overload.
TEST(resend_rules_test, a_rejected_request_is_resent_after_the_requested_delay_with_a_fresh_id) {
    const auto rejected = failed_with(base::error_kind::deadline_unreachable, milliseconds(300));
    const auto decision =
        decide_resend(rejected, request_semantics::non_idempotent, 1, milliseconds(1000), {});
    EXPECT_EQ(decision, (resend_decision{resend_action::fresh_id, milliseconds(300)}));
    EXPECT_EQ(decide_resend(rejected, request_semantics::idempotent, 1, milliseconds(350), {}).action,
              resend_action::give_up)
        << "too little time remains after the wait";
    EXPECT_EQ(decide_resend(rejected, request_semantics::idempotent, 4, milliseconds(1000), {}).action,
              resend_action::give_up);
}

// Guards against a second execution of a non-idempotent request.
TEST(resend_rules_test, a_request_with_unknown_outcome_is_resent_only_with_the_same_id) {
    for (std::size_t index = 0; index < base::error_kind_count; ++index) {
        const auto kind = static_cast<base::error_kind>(index);
        const auto attempt = failed_with(kind, milliseconds(10));
        if (attempt.execution != base::execution_state::unknown) {
            continue;
        }
        const auto decision =
            decide_resend(attempt, request_semantics::non_idempotent, 1, milliseconds(1000), {});
        EXPECT_NE(decision.action, resend_action::fresh_id) << base::properties_of(kind).name;
        EXPECT_NE(decision.action, resend_action::next_entry) << base::properties_of(kind).name;
    }
    const failed_attempt lost; // the connection ended without an answer
    EXPECT_EQ(decide_resend(lost, request_semantics::non_idempotent, 1, milliseconds(1000), {}).action,
              resend_action::same_id);
    EXPECT_EQ(decide_resend(lost, request_semantics::idempotent, 1, milliseconds(1000), {}).action,
              resend_action::next_entry);
}

// Guards against callers that keep using an entry instance that is unreachable or stopping.
TEST(resend_rules_test, callers_switch_away_from_an_unreachable_or_stopping_entry_instance) {
    const failed_attempt unreachable{base::execution_state::not_executed, base::retry_advice::never, {}, {}};
    EXPECT_EQ(decide_resend(unreachable, request_semantics::non_idempotent, 1, milliseconds(1000), {}),
              (resend_decision{resend_action::next_entry, {}}));
    EXPECT_EQ(decide_resend(failed_with(base::error_kind::stopping, milliseconds(1000)),
                            request_semantics::non_idempotent, 1, milliseconds(1000), {})
                  .action,
              resend_action::next_entry);
}

// Guards against a baseline that resends without back-off, or that gives up before its last attempt.
TEST(resend_rules_test, a_shed_request_is_resent_at_once_and_then_with_back_off) {
    const resend_limits limits;
    EXPECT_EQ(decide_direct_resend(1, milliseconds(1000), limits).wait, base::duration::zero());
    EXPECT_EQ(decide_direct_resend(2, milliseconds(1000), limits).wait, limits.back_off);
    EXPECT_EQ(decide_direct_resend(3, milliseconds(1000), limits).wait, 2 * limits.back_off);
    EXPECT_EQ(decide_direct_resend(4, milliseconds(1000), limits).action, resend_action::give_up);
}

} // namespace
} // namespace carawayway::bench
