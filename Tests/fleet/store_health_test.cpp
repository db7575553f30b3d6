// Tests when a key that disappeared from the store counts as removed.
#include "carawayway/fleet/store_health.hpp"

#include <gtest/gtest.h>

namespace carawayway::fleet {
namespace {

using namespace std::chrono_literals;

constexpr base::time_point start{std::chrono::hours{1}};

// Guards against removing servers because their registrations expired while the store was down.
TEST(store_health, is_settled_only_some_time_after_a_failure) {
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

// Guards against a gateway that distrusts removals for another settling time after the gateway that it
// follows trusts them again.
TEST(store_health, takes_over_the_last_failure_of_its_leader) {
    store_health store;
    store.record_success();
    store.record_leader_failure(500ms, start);
    EXPECT_FALSE(store.is_settled(start));
    EXPECT_EQ(store.time_since_failure(start), 500ms);
    store.record_leader_failure(60s, start + 1s);
    EXPECT_TRUE(store.is_settled(start + store_health::settling_time - 500ms));
}

// Guards against removing servers that have not yet written their registrations again after a restore.
TEST(store_health, is_settled_only_some_time_after_a_restore) {
    store_health store;
    store.record_success();
    store.record_restore(start);
    EXPECT_TRUE(store.is_reachable());
    EXPECT_FALSE(store.is_settled(start + 2s));
    EXPECT_TRUE(store.is_settled(start + store_health::settling_time));
}

TEST(store_health, reports_a_reachable_store_once) {
    store_health store;
    EXPECT_TRUE(store.record_success());
    EXPECT_FALSE(store.record_success());
    store.record_failure(start);
    EXPECT_FALSE(store.is_reachable());
    EXPECT_TRUE(store.record_success());
}

} // namespace
} // namespace carawayway::fleet
