// When a disappearance from the store counts.
#include "carawayway/fleet/store_condition.hpp"

#include <gtest/gtest.h>

namespace carawayway::fleet {
namespace {

using namespace std::chrono_literals;

constexpr base::time_point start{std::chrono::hours{1}};

// Guards against servers that are given up because their entries expired while the store was down.
TEST(store_condition, is_settled_only_some_time_after_trouble) {
    store_condition store;
    EXPECT_FALSE(store.is_settled(start));
    EXPECT_TRUE(store.contact());
    EXPECT_TRUE(store.is_settled(start));
    store.trouble(start);
    EXPECT_FALSE(store.is_settled(start + 10s));
    EXPECT_TRUE(store.contact());
    EXPECT_FALSE(store.is_settled(start + 2s));
    EXPECT_TRUE(store.is_settled(start + store_condition::settling_time));
}

// Guards against a gateway that doubts removals for the settling time again after the one that it follows has
// stopped to do so.
TEST(store_condition, takes_over_the_trouble_of_the_gateway_that_it_follows) {
    store_condition store;
    store.contact();
    store.followed(500ms, start);
    EXPECT_FALSE(store.is_settled(start));
    EXPECT_EQ(store.undisturbed(start), 500ms);
    store.followed(60s, start + 1s);
    EXPECT_TRUE(store.is_settled(start + store_condition::settling_time - 500ms));
}

TEST(store_condition, reports_regained_contact_once) {
    store_condition store;
    EXPECT_TRUE(store.contact());
    EXPECT_FALSE(store.contact());
    store.trouble(start);
    EXPECT_FALSE(store.in_contact());
    EXPECT_TRUE(store.contact());
}

} // namespace
} // namespace carawayway::fleet
