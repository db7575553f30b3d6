// Guards the exit codes that scripts decide by.
#include "carawayway/cli/ctl_client.hpp"

#include <gtest/gtest.h>

namespace carawayway::cli {
namespace {

TEST(ctl_client_test, exit_codes_tell_what_became_of_a_change) {
    using enum base::error_kind;
    EXPECT_EQ(exit_code_for(policy_conflict), exit_code::conflict);
    EXPECT_EQ(exit_code_for(policy_invalid), exit_code::bad_input);
    EXPECT_EQ(exit_code_for(unauthorized), exit_code::bad_input);
    EXPECT_EQ(exit_code_for(store_unavailable), exit_code::unreachable);
    EXPECT_EQ(exit_code_for(store_outcome_unknown), exit_code::outcome_unknown);
}

// A refusal whose execution is unknown must never look like one that changed nothing.
TEST(ctl_client_test, no_unknown_outcome_is_reported_as_not_executed) {
    for (std::size_t number = 0; number < base::error_kind_count; ++number) {
        const auto kind = static_cast<base::error_kind>(number);
        if (base::properties_of(kind).execution != base::execution_state::unknown) {
            continue;
        }
        const auto code = exit_code_for(kind);
        EXPECT_TRUE(code == exit_code::outcome_unknown || code == exit_code::failed)
            << base::properties_of(kind).name;
    }
}

} // namespace
} // namespace carawayway::cli
