// Tests that only the exact bearer token gives access to the calls of operators.
#include "carawayway/operators/bearer_token.hpp"

#include <gtest/gtest.h>

namespace carawayway::operators {
namespace {

TEST(bearer_token_test, only_the_complete_token_is_accepted) {
    const bearer_token token("secret-1");
    EXPECT_TRUE(token.accepts("Bearer secret-1"));
    for (const auto* wrong : {"", "Bearer", "Bearer ", "Bearer secret-", "Bearer secret-11",
                              "Bearer Secret-1", "Basic secret-1", "secret-1", "Bearer  secret-1"}) {
        EXPECT_FALSE(token.accepts(wrong)) << wrong;
    }
}

TEST(bearer_token_test, without_a_token_nothing_is_accepted) {
    const bearer_token none("");
    EXPECT_FALSE(none.accepts(""));
    EXPECT_FALSE(none.accepts("Bearer "));
    EXPECT_FALSE(none.accepts("Bearer x"));
}

} // namespace
} // namespace carawayway::operators
