// When the load tool's callers send a request again.
#include "bench/load/resend_rules.hpp"

#include <gtest/gtest.h>

namespace carawayway::bench {
namespace {

using config::request_semantics;
using std::chrono::milliseconds;

failed_attempt refusal(base::error_kind kind, base::duration retry_after = {}) {
    const auto& row = base::properties_of(kind);
    return {row.execution, row.advice, kind, retry_after};
}

// Guards against callers that return earlier than they were told to and so add load to an overload.
TEST(resend_rules_test, a_refused_request_waits_as_told_and_gets_a_fresh_id) {
    const auto refused = refusal(base::error_kind::deadline_unreachable, milliseconds(300));
    const auto decision =
        decide_resend(refused, request_semantics::non_idempotent, 1, milliseconds(1000), {});
    EXPECT_EQ(decision, (resend_decision{resend_action::fresh_id, milliseconds(300)}));
    EXPECT_EQ(decide_resend(refused, request_semantics::idempotent, 1, milliseconds(350), {}).action,
              resend_action::give_up)
        << "the time left after the wait is not enough for an answer";
    EXPECT_EQ(decide_resend(refused, request_semantics::idempotent, 4, milliseconds(1000), {}).action,
              resend_action::give_up);
}

// Guards against a second execution of a non-idempotent request.
TEST(resend_rules_test, an_unknown_outcome_is_only_asked_for_with_the_same_id) {
    for (std::size_t index = 0; index < base::error_kind_count; ++index) {
        const auto kind = static_cast<base::error_kind>(index);
        const auto attempt = refusal(kind, milliseconds(10));
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

// Guards against callers that stay with an entry instance that is gone or leaving.
TEST(resend_rules_test, callers_leave_an_entry_instance_that_does_not_take_requests) {
    const failed_attempt not_reached{base::execution_state::not_executed, base::retry_advice::never, {}, {}};
    EXPECT_EQ(decide_resend(not_reached, request_semantics::non_idempotent, 1, milliseconds(1000), {}),
              (resend_decision{resend_action::next_entry, {}}));
    EXPECT_EQ(decide_resend(refusal(base::error_kind::stopping, milliseconds(1000)),
                            request_semantics::non_idempotent, 1, milliseconds(1000), {})
                  .action,
              resend_action::next_entry);
}

// Guards against a baseline that hammers servers without pause, or gives up before its last attempt.
TEST(resend_rules_test, a_shed_request_goes_to_another_server_at_once_and_then_pauses) {
    const resend_limits limits;
    EXPECT_EQ(decide_direct_resend(1, milliseconds(1000), limits).wait, base::duration::zero());
    EXPECT_EQ(decide_direct_resend(2, milliseconds(1000), limits).wait, limits.back_off);
    EXPECT_EQ(decide_direct_resend(3, milliseconds(1000), limits).wait, 2 * limits.back_off);
    EXPECT_EQ(decide_direct_resend(4, milliseconds(1000), limits).action, resend_action::give_up);
}

} // namespace
} // namespace carawayway::bench
