// Tests which servers the affinity cache keeps for an object.
#include "carawayway/placement/affinity_cache.hpp"

#include <gtest/gtest.h>

namespace carawayway::placement {
namespace {

TEST(affinity_cache, keeps_the_last_two_servers) {
    affinity_cache cache(10);
    cache.record(1, 100);
    cache.record(1, 200);
    EXPECT_TRUE(cache.contains(1, 100));
    EXPECT_TRUE(cache.contains(1, 200));
    EXPECT_EQ(cache.latest_server(1), 200U);
    cache.record(1, 100);
    EXPECT_EQ(cache.latest_server(1), 100U);
    cache.record(1, 300);
    EXPECT_FALSE(cache.contains(1, 200));
    EXPECT_TRUE(cache.contains(1, 100));
}

// Guards against memory use that grows with the number of objects.
TEST(affinity_cache, evicts_the_least_recently_used_object) {
    affinity_cache cache(2);
    cache.record(1, 100);
    cache.record(2, 100);
    cache.record(1, 100);
    cache.record(3, 100);
    EXPECT_EQ(cache.size(), 2U);
    EXPECT_TRUE(cache.contains(1, 100));
    EXPECT_FALSE(cache.contains(2, 100));
}

} // namespace
} // namespace carawayway::placement
