// Guards the exit codes on which operators' scripts rely.
#include "carawayway/cli/ctl_client.hpp"

#include <gtest/gtest.h>

namespace carawayway::cli {
namespace {

TEST(ctl_client_test, exit_codes_tell_the_outcome_of_a_change) {
    using enum base::error_kind;
    EXPECT_EQ(exit_code_for(policy_conflict), exit_code::conflict);
    EXPECT_EQ(exit_code_for(policy_invalid), exit_code::bad_input);
    EXPECT_EQ(exit_code_for(unauthorized), exit_code::bad_input);
    EXPECT_EQ(exit_code_for(store_unavailable), exit_code::unreachable);
    EXPECT_EQ(exit_code_for(store_outcome_unknown), exit_code::outcome_unknown);
}

// An error that leaves the execution unknown must not have the exit code of one that changed nothing.
TEST(ctl_client_test, an_unknown_outcome_is_not_reported_as_not_executed) {
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
