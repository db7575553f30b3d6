// Guards against events that are lost or counted twice in the counts that the shift cap is based on.
#include "carawayway/shifting/sliding_count.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

namespace carawayway::shifting {
namespace {

using namespace std::chrono_literals;

RC_GTEST_PROP(sliding_count_test, sums_equal_those_of_a_list_of_events, ()) {
    base::time_point now{std::chrono::milliseconds(*rc::gen::inRange(-100, 100))};
    sliding_count count(7ms, 16, now);
    std::vector<sliding_count::bucket> events;
    const int steps = *rc::gen::inRange(1, 100);
    for (int step = 0; step < steps; ++step) {
        now +=
            std::chrono::milliseconds(*rc::gen::weightedElement<int>({{20, 0}, {20, 3}, {5, 40}, {1, 300}}));
        count.add(now);
        events.push_back(count.bucket_at(now));
        const auto newest = events.back();
        const auto last = newest + *rc::gen::inRange(-8, 3);
        const auto after = last - *rc::gen::inRange(0, 7);
        const auto expected = std::count_if(events.begin(), events.end(), [after, last](auto bucket) {
            return bucket > after && bucket <= last;
        });
        RC_ASSERT(count.sum(after, last) == static_cast<std::uint64_t>(expected));
        RC_ASSERT(count.start_of(newest) <= now && now < count.start_of(newest + 1));
    }
}

TEST(sliding_count_test, a_change_of_the_bucket_length_keeps_the_events_and_moves_none_back) {
    const base::time_point start{1s};
    sliding_count count(10ms, 100, start);
    count.add(start);
    count.add(start + 55ms, 3);
    const auto coarse = count.with_bucket_length(40ms, start + 56ms);
    const auto last = coarse.bucket_at(start + 56ms);
    EXPECT_EQ(coarse.sum(coarse.bucket_at(start) - 1, last), 4U);
    EXPECT_EQ(coarse.sum(coarse.bucket_at(start + 55ms) - 1, last), 3U);
}

} // namespace
} // namespace carawayway::shifting
