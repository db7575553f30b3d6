// Tests of the check of what servers get within a rest.
#include "Tests/soak/rest_limit.hpp"

#include <gtest/gtest.h>

namespace carawayway::soak {
namespace {

using std::chrono::milliseconds;

const std::map<std::string, std::size_t> gateways{{"a", 0}, {"b", 0}, {"c", 0}, {"other", 1}};

arrival arrival_of(const std::string& request, int at_ms, int rest_ms = 0) {
    return {request, clock::time_point{milliseconds{at_ms}}, milliseconds{0}, "i-1", milliseconds{rest_ms}};
}

TEST(rest_limit, counts_requests_of_the_gateway_that_was_asked) {
    EXPECT_EQ(most_arrivals_within_rest(
                  {arrival_of("a", 0, 3000), arrival_of("b", 501), arrival_of("c", 2999)}, gateways),
              2U);
    EXPECT_EQ(most_arrivals_within_rest({arrival_of("a", 0, 3000), arrival_of("other", 1000)}, gateways), 0U);
}

TEST(rest_limit, requests_on_their_way_and_those_after_the_rest_do_not_count) {
    EXPECT_EQ(most_arrivals_within_rest(
                  {arrival_of("a", 0, 3000), arrival_of("b", 499), arrival_of("c", 3000)}, gateways),
              0U);
    EXPECT_EQ(most_arrivals_within_rest({arrival_of("a", 0), arrival_of("b", 600)}, gateways), 0U);
}

} // namespace
} // namespace carawayway::soak
