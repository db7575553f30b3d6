// Guards against a second dispatch of a request and against transitions from a final state.
#include "carawayway/requests/request_lifecycle.hpp"

#include <gtest/gtest.h>

namespace carawayway::requests {
namespace {

using enum request_state;

TEST(request_lifecycle_test, only_the_listed_transitions_exist) {
    EXPECT_EQ(next_state(received, request_event::dispatch), dispatched);
    EXPECT_EQ(next_state(received, request_event::finish), refused);
    EXPECT_EQ(next_state(dispatched, request_event::dispatch), std::nullopt);
    EXPECT_EQ(next_state(dispatched, request_event::finish), finished);
    for (const auto state : {finished, refused}) {
        for (const auto event : {request_event::dispatch, request_event::finish}) {
            EXPECT_EQ(next_state(state, event), std::nullopt) << to_string(state);
        }
    }
}

} // namespace
} // namespace carawayway::requests
