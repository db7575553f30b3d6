// Guards against retries that amplify an overload of the backend servers.
#include "carawayway/steering/retry_budget.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

namespace carawayway::steering {
namespace {

const base::time_point start{std::chrono::seconds{1000}};

RC_GTEST_PROP(retry_budget_test, retries_stay_within_share_floor_and_burst, ()) {
    const auto steps =
        *rc::gen::container<std::vector<std::uint8_t>>(300, rc::gen::arbitrary<std::uint8_t>());
    const retry_limits limits{0.2, 2.0, 5.0};
    retry_budget budget(limits, start);
    base::time_point now = start;
    double first = 0.0;
    double retries = 0.0;
    for (const std::uint8_t step : steps) {
        now += std::chrono::milliseconds{step % 32};
        if (step >= 128) {
            budget.record_first_attempt(now);
            first += 1.0;
        }
        retries += budget.try_spend(now) ? 1.0 : 0.0;
        const double earned = limits.share * first + limits.floor_per_second * base::to_seconds(now - start);
        RC_ASSERT(retries <= earned + limits.burst + 1e-9);
    }
}

TEST(retry_budget_test, little_traffic_can_still_retry) {
    retry_budget budget({0.1, 1.0, 3.0}, start);
    while (budget.try_spend(start)) {
    }
    EXPECT_FALSE(budget.try_spend(start + std::chrono::milliseconds{500}));
    EXPECT_TRUE(budget.try_spend(start + std::chrono::milliseconds{1000}));
    EXPECT_EQ(budget.available(start + std::chrono::hours{1}), 3.0);
}

TEST(retry_budget_test, backoff_grows_within_its_bound_without_overflow) {
    std::mt19937_64 random{1};
    constexpr base::duration first = std::chrono::milliseconds{10};
    constexpr base::duration longest = std::chrono::seconds{5};
    for (std::uint32_t attempt = 0; attempt < 100; ++attempt) {
        const base::duration backoff = jittered_backoff(attempt, first, longest, random);
        EXPECT_GE(backoff, base::duration::zero());
        EXPECT_LE(backoff, std::min(longest, first * (1 << std::min(attempt, 10U))));
    }
}

} // namespace
} // namespace carawayway::steering
