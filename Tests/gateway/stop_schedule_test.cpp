// Which requests a stopping gateway takes.
#include "carawayway/gateway/stop_schedule.hpp"

#include <gtest/gtest.h>

namespace carawayway::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::time_point signalled_at{seconds{100}};

// Guards against requests that arrive late in a stop and cannot end before the process does.
TEST(stop_schedule_test, late_requests_are_taken_only_if_they_end_in_time) {
    const auto schedule = stop_schedule::after_signal(signalled_at, seconds{6});
    const auto early = schedule.admits_until - milliseconds{1};
    const auto late = schedule.admits_until;
    EXPECT_TRUE(schedule.takes(early, early + seconds{10}));
    EXPECT_FALSE(schedule.takes(late, late + seconds{10}));
    EXPECT_TRUE(schedule.takes(late, schedule.requests_end));
    EXPECT_FALSE(schedule.takes(late, schedule.requests_end + milliseconds{1}));
}

// Guards against a process that the platform kills before its requests have ended.
TEST(stop_schedule_test, all_steps_fit_into_the_grace_time) {
    for (const auto grace : {seconds{1}, seconds{2}, seconds{6}, seconds{30}}) {
        const auto schedule = stop_schedule::after_signal(signalled_at, grace);
        EXPECT_LT(signalled_at, schedule.admits_until);
        EXPECT_LT(schedule.admits_until, schedule.accepts_until);
        EXPECT_LT(schedule.accepts_until, schedule.requests_end);
        EXPECT_LT(schedule.requests_end, schedule.process_ends);
        EXPECT_LT(schedule.process_ends, signalled_at + grace);
    }
}

} // namespace
} // namespace carawayway::gateway
