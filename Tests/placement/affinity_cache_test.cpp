// Which servers are remembered for an object.
#include "carawayway/placement/affinity_cache.hpp"

#include <gtest/gtest.h>

namespace carawayway::placement {
namespace {

TEST(affinity_cache, remembers_the_last_two_servers) {
    affinity_cache memory(10);
    memory.record(1, 100);
    memory.record(1, 200);
    EXPECT_TRUE(memory.contains(1, 100));
    EXPECT_TRUE(memory.contains(1, 200));
    EXPECT_EQ(memory.latest_server(1), 200U);
    memory.record(1, 100);
    EXPECT_EQ(memory.latest_server(1), 100U);
    memory.record(1, 300);
    EXPECT_FALSE(memory.contains(1, 200));
    EXPECT_TRUE(memory.contains(1, 100));
}

// Guards against memory that grows with the number of objects.
TEST(affinity_cache, forgets_the_object_that_was_used_longest_ago) {
    affinity_cache memory(2);
    memory.record(1, 100);
    memory.record(2, 100);
    memory.record(1, 100);
    memory.record(3, 100);
    EXPECT_EQ(memory.size(), 2U);
    EXPECT_TRUE(memory.contains(1, 100));
    EXPECT_FALSE(memory.contains(2, 100));
}

} // namespace
} // namespace carawayway::placement
