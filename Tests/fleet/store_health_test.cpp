// When a disappearance from the store counts.
#include "carawayway/fleet/store_health.hpp"

#include <gtest/gtest.h>

namespace carawayway::fleet {
namespace {

using namespace std::chrono_literals;

constexpr base::time_point start{std::chrono::hours{1}};

// Guards against servers that are given up because their entries expired while the store was down.
TEST(store_health, is_settled_only_some_time_after_trouble) {
    store_health store;
    EXPECT_FALSE(store.is_settled(start));
    EXPECT_TRUE(store.record_success());
    EXPECT_TRUE(store.is_settled(start));
    store.record_failure(start);
    EXPECT_FALSE(store.is_settled(start + 10s));
    EXPECT_TRUE(store.record_success());
    EXPECT_FALSE(store.is_settled(start + 2s));
    EXPECT_TRUE(store.is_settled(start + store_health::settling_time));
}

// Guards against a gateway that doubts removals for the settling time again after the one that it follows has
// stopped to do so.
TEST(store_health, takes_over_the_trouble_of_the_gateway_that_it_follows) {
    store_health store;
    store.record_success();
    store.record_leader_failure(500ms, start);
    EXPECT_FALSE(store.is_settled(start));
    EXPECT_EQ(store.time_since_failure(start), 500ms);
    store.record_leader_failure(60s, start + 1s);
    EXPECT_TRUE(store.is_settled(start + store_health::settling_time - 500ms));
}

TEST(store_health, reports_regained_contact_once) {
    store_health store;
    EXPECT_TRUE(store.record_success());
    EXPECT_FALSE(store.record_success());
    store.record_failure(start);
    EXPECT_FALSE(store.is_reachable());
    EXPECT_TRUE(store.record_success());
}

} // namespace
} // namespace carawayway::fleet
