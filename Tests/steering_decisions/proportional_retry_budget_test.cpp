// Tests of the limit on retries that processes keep together without messages.
#include "carawayway/steering/proportional_retry_budget.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <vector>

namespace carawayway::steering {
namespace {

using namespace std::chrono_literals;

const base::time_point start{1000s};
constexpr shared_retry_limits limits{0.2, 10s, 1.0};

std::size_t spend_all(proportional_retry_budget& budget, base::time_point now) {
    std::size_t spent = 0;
    while (budget.try_spend(now)) {
        ++spent;
    }
    return spent;
}

void record(proportional_retry_budget& budget, int first_attempts, base::time_point now) {
    for (int attempt = 0; attempt < first_attempts; ++attempt) {
        budget.record_first_attempt(now);
    }
}

// Number of sorted times in [from, to).
double count_between(const std::vector<base::time_point>& times, base::time_point from, base::time_point to) {
    return static_cast<double>(std::lower_bound(times.begin(), times.end(), to) -
                               std::lower_bound(times.begin(), times.end(), from));
}

// Guards against retries of many processes that exceed their common limit, however the callers move between
// the processes, however many processes there are and whenever one of them is restarted.
RC_GTEST_PROP(proportional_retry_budget_test, all_processes_together_keep_the_limit, ()) {
    constexpr std::size_t processes = 6;
    const auto steps =
        *rc::gen::container<std::vector<std::uint16_t>>(600, rc::gen::arbitrary<std::uint16_t>());
    std::vector<proportional_retry_budget> budgets(processes, {limits, start});
    std::vector<base::time_point> first_attempts;
    std::vector<base::time_point> retries;
    base::time_point now = start;
    for (const std::uint16_t step : steps) {
        auto& budget = budgets.at(step % processes);
        switch (step / processes % 8) {
        case 0: // a pause, at times a long one
            now += std::chrono::milliseconds{step % 64 == 0 ? step : step % 512};
            break;
        case 1: // a restart
            budget = proportional_retry_budget(limits, now);
            break;
        case 2: // an outage, in which all servers refuse
            retries.insert(retries.end(), spend_all(budget, now), now);
            break;
        default:
            record(budget, 20, now);
            first_attempts.insert(first_attempts.end(), 20, now);
        }
    }
    for (const auto from : retries) {
        const auto current = count_between(first_attempts, from, from + limits.window);
        const auto previous = count_between(first_attempts, from - limits.window, from);
        RC_ASSERT(count_between(retries, from, from + limits.window) <=
                  limits.share * std::max(current, previous) + processes * limits.minimum_burst);
    }
}

// Guards against a process that starts with retries that the one before it has used already.
TEST(proportional_retry_budget_test, a_new_process_has_no_retries) {
    proportional_retry_budget budget(limits, start);
    EXPECT_FALSE(budget.try_spend(start));
    record(budget, 6, start);
    EXPECT_FALSE(budget.try_spend(start));
    record(budget, 1, start);
    EXPECT_TRUE(budget.try_spend(start));
    EXPECT_FALSE(budget.try_spend(start));
}

// Guards against retries that are kept for ever and then spent when there is hardly any traffic.
TEST(proportional_retry_budget_test, saved_retries_expire_with_the_first_attempts_that_earned_them) {
    proportional_retry_budget budget(limits, start);
    record(budget, 1000, start);
    EXPECT_EQ(budget.available(start), 1000 * limits.share * proportional_retry_budget::saved_part);
    EXPECT_EQ(budget.available(start + limits.window), limits.minimum_burst);
    EXPECT_EQ(spend_all(budget, start + limits.window), 1U);
    record(budget, 10, start + limits.window);
    EXPECT_EQ(budget.available(start + limits.window), limits.minimum_burst);
}

// Guards against a service with little traffic that can never retry.
TEST(proportional_retry_budget_test, little_traffic_can_retry) {
    proportional_retry_budget budget(limits, start);
    auto now = start;
    for (int request = 0; request < 8; ++request) {
        now += 1min;
        budget.record_first_attempt(now);
    }
    EXPECT_TRUE(budget.try_spend(now));
}

// Guards against callers that lose retries while the servers of a busy service fail.
TEST(proportional_retry_budget_test, steady_traffic_can_use_most_of_the_limit) {
    constexpr int seconds = 10;
    constexpr int requests_per_second = 30;
    proportional_retry_budget budget(limits, start);
    std::size_t spent = 0;
    for (int second = 0; second < 2 * seconds; ++second) {
        record(budget, requests_per_second, start + std::chrono::seconds{second});
        if (second >= seconds) {
            spent += spend_all(budget, start + std::chrono::seconds{second});
        }
    }
    EXPECT_GE(static_cast<double>(spent), 0.9 * limits.share * seconds * requests_per_second);
}

} // namespace
} // namespace carawayway::steering
