// When a missing answer counts against its server.
#include "carawayway/placement/overdue_time.hpp"

#include <gtest/gtest.h>

namespace carawayway::placement {
namespace {

using std::chrono::milliseconds;

// Pattern: first runs of objects take longer than the route allows, while all objects are new. Guards against
// taking servers out of use for it, which leaves fewer for the same load.
TEST(overdue_time, a_first_run_that_its_route_cuts_is_not_overdue) {
    EXPECT_LT(milliseconds{1200}, overdue_after(milliseconds{1344}));
}

// Guards against a silent server that keeps its requests until the route's time is over.
TEST(overdue_time, silence_at_a_server_that_holds_the_object_is_overdue) {
    EXPECT_GT(milliseconds{1200}, overdue_after(milliseconds{336}));
}

} // namespace
} // namespace carawayway::placement
