// Tests of the check that is made of the retries in soak runs.
#include "Tests/soak/retry_limit.hpp"

#include <gtest/gtest.h>

namespace carawayway::soak {
namespace {

using std::chrono::milliseconds;

constexpr retry_limit limit{0.2, 3.0, milliseconds{10'000}};
const clock::time_point start{std::chrono::hours{1}};

// Every request arrives once; the first `repeated` of them arrive again after the delay.
retry_limit_input traffic(int requests, int repeated, milliseconds delay) {
    retry_limit_input input;
    for (int request = 0; request < requests; ++request) {
        const auto id = std::to_string(request);
        input.sent.push_back(start);
        input.arrivals.push_back({id, start, milliseconds{100}});
        if (request < repeated) {
            input.arrivals.push_back({id, start + delay, milliseconds{100}});
        }
    }
    return input;
}

TEST(retry_limit_test, repeats_within_share_and_slack_are_permitted) {
    EXPECT_EQ(find_retry_excess(limit, traffic(50, 13, milliseconds{5})), std::nullopt);
}

TEST(retry_limit_test, one_repeat_more_is_found) {
    EXPECT_EQ(find_retry_excess(limit, traffic(50, 14, milliseconds{5})),
              "14 repeats within 10000 ms for 50 requests, allowed 13.0");
}

// Guards against a check that accepts repeats which were earned long before.
TEST(retry_limit_test, requests_before_the_previous_window_do_not_count) {
    EXPECT_EQ(find_retry_excess(limit, traffic(50, 4, milliseconds{9'000})), std::nullopt);
    EXPECT_EQ(find_retry_excess(limit, traffic(50, 4, milliseconds{11'000})),
              "4 repeats within 10000 ms for 0 requests, allowed 3.0");
}

} // namespace
} // namespace carawayway::soak
