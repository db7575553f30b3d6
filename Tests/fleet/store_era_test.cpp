// Tests how answers of the store are ordered by their era.
#include "carawayway/fleet/store_era.hpp"

#include <gtest/gtest.h>

namespace carawayway::fleet {
namespace {

constexpr base::time_point now{std::chrono::hours{1}};

TEST(store_era, a_higher_era_is_newer_once) {
    store_era era;
    EXPECT_EQ(era.observe(4, now), era_order::newer);
    EXPECT_EQ(era.observe(4, now), era_order::current);
    EXPECT_EQ(era.observe(5, now), era_order::newer);
    EXPECT_EQ(era.known(), 5);
}

// Guards against an answer from before a restore that arrives late and undoes what is known.
TEST(store_era, a_late_answer_is_older) {
    store_era era;
    era.observe(5, now);
    EXPECT_EQ(era.observe(4, now), era_order::older);
    EXPECT_EQ(era.observe(5, now), era_order::current);
    EXPECT_EQ(era.observe(4, now), era_order::older);
    EXPECT_EQ(era.known(), 5);
}

// Guards against a gateway that never uses the store again, because its era has fallen.
TEST(store_era, an_era_that_stays_lower_counts_as_the_known_one) {
    store_era era;
    era.observe(5, now);
    for (std::uint32_t answer = 1; answer < store_era::maximum_older_answers; ++answer) {
        EXPECT_EQ(era.observe(3, now), era_order::older);
    }
    EXPECT_EQ(era.observe(3, now), era_order::current);
    EXPECT_EQ(era.known(), 5);
}

TEST(store_era, a_missing_or_negative_era_counts_as_the_known_one) {
    store_era era;
    EXPECT_EQ(era.observe(std::nullopt, now), era_order::current);
    EXPECT_EQ(era.known(), 0);
    era.observe(5, now);
    EXPECT_EQ(era.observe(std::nullopt, now), era_order::current);
    EXPECT_EQ(era.observe(-1, now), era_order::current);
    EXPECT_EQ(era.known(), 5);
}

} // namespace
} // namespace carawayway::fleet
