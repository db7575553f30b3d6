// Tests the arrival schedule of the load tool.
#include "bench/load/arrival_schedule.hpp"

#include <gtest/gtest.h>

#include <array>

namespace carawayway::bench {
namespace {

// Guards against measurements at a load that differs from the printed one.
TEST(arrival_schedule_test, streams_keep_their_rates) {
    arrival_schedule schedule({{30.0, 10.0}, {0.0, 60.0}}, 7, 20261203);
    std::array<std::array<int, 2>, 2> counts{};
    base::duration last{};
    constexpr int arrivals = 100000;
    for (int number = 0; number < arrivals; ++number) {
        const arrival next = schedule.next();
        ASSERT_GE(next.at, last);
        ASSERT_LT(next.caller, 7U);
        last = next.at;
        ++counts.at(next.service).at(next.region);
    }
    EXPECT_NEAR(base::to_seconds(last), arrivals / 100.0, 10.0);
    EXPECT_NEAR(counts[0][0], 0.3 * arrivals, 700);
    EXPECT_NEAR(counts[0][1], 0.1 * arrivals, 700);
    EXPECT_EQ(counts[1][0], 0);
    EXPECT_NEAR(counts[1][1], 0.6 * arrivals, 700);
}

// Guards against runs that the same seed does not reproduce.
TEST(arrival_schedule_test, a_seed_gives_the_same_schedule) {
    arrival_schedule left({{1.0}, {2.0}}, 3, 7);
    arrival_schedule right({{1.0}, {2.0}}, 3, 7);
    for (int number = 0; number < 100; ++number) {
        EXPECT_EQ(left.next(), right.next());
    }
}

} // namespace
} // namespace carawayway::bench
