// Tests when a missing answer counts as a failure of its server.
#include "carawayway/placement/overdue_time.hpp"

#include <gtest/gtest.h>

namespace carawayway::placement {
namespace {

using std::chrono::milliseconds;

// Guards against taking servers out of use because cache misses run longer than the route's timeout. That
// happens while no object is cached yet, and it leaves fewer servers for the same load.
TEST(overdue_time, a_cache_miss_that_exceeds_the_route_timeout_is_not_overdue) {
    EXPECT_LT(milliseconds{1200}, overdue_after(milliseconds{1344}));
}

// Guards against waiting until the route's timeout for a server that stopped answering.
TEST(overdue_time, a_missing_answer_from_a_server_with_the_object_cached_is_overdue) {
    EXPECT_GT(milliseconds{1200}, overdue_after(milliseconds{336}));
}

} // namespace
} // namespace carawayway::placement
