// Which servers are remembered for an object.
#include "carawayway/placement/affinity_memory.hpp"

#include <gtest/gtest.h>

namespace carawayway::placement {
namespace {

TEST(affinity_memory, remembers_the_last_two_servers) {
    affinity_memory memory(10);
    memory.remember(1, 100);
    memory.remember(1, 200);
    EXPECT_TRUE(memory.holds(1, 100));
    EXPECT_TRUE(memory.holds(1, 200));
    EXPECT_EQ(memory.latest(1), 200U);
    memory.remember(1, 100);
    EXPECT_EQ(memory.latest(1), 100U);
    memory.remember(1, 300);
    EXPECT_FALSE(memory.holds(1, 200));
    EXPECT_TRUE(memory.holds(1, 100));
}

// Guards against memory that grows with the number of objects.
TEST(affinity_memory, forgets_the_object_that_was_used_longest_ago) {
    affinity_memory memory(2);
    memory.remember(1, 100);
    memory.remember(2, 100);
    memory.remember(1, 100);
    memory.remember(3, 100);
    EXPECT_EQ(memory.size(), 2U);
    EXPECT_TRUE(memory.holds(1, 100));
    EXPECT_FALSE(memory.holds(2, 100));
}

} // namespace
} // namespace carawayway::placement
