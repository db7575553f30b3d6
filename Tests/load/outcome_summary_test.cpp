// Tests the counts and percentiles that the load tool prints.
#include "bench/load/outcome_summary.hpp"

#include <gtest/gtest.h>

namespace carawayway::bench {
namespace {

request_report make_report(request_end end, std::int64_t milliseconds) {
    request_report report;
    report.end = end;
    report.latency = std::chrono::milliseconds(milliseconds);
    report.sends = 2;
    return report;
}

// Guards against percentiles with an error larger than the width of a histogram bin.
TEST(outcome_summary_test, percentiles_are_within_the_width_of_a_bin) {
    outcome_summary summary;
    for (int milliseconds = 1; milliseconds <= 1000; ++milliseconds) {
        summary.add(make_report(request_end::in_time, milliseconds));
    }
    EXPECT_NEAR(summary.percentile(0.5), 500, 6);
    EXPECT_NEAR(summary.percentile(0.99), 990, 11);
    EXPECT_NEAR(summary.percentile(0.999), 999, 11);
}

// Guards against fast rejections that lower the latency percentiles of answered requests.
TEST(outcome_summary_test, only_answered_requests_count_as_latency) {
    outcome_summary summary;
    summary.add(make_report(request_end::refused, 1));
    summary.add(make_report(request_end::unknown, 1));
    EXPECT_EQ(summary.percentile(0.5), 0.0);
    summary.add(make_report(request_end::late, 3000));
    EXPECT_NEAR(summary.percentile(0.5), 3000, 35);
}

// Guards against requests that are missing from the merged summary of several services.
TEST(outcome_summary_test, merging_keeps_all_requests) {
    outcome_summary left;
    left.add(make_report(request_end::in_time, 10));
    left.add(make_report(request_end::refused, 10));
    outcome_summary right;
    right.add(make_report(request_end::in_time, 1000));
    right.add(make_report(request_end::late, 2500));
    left.merge(right);
    EXPECT_EQ(left.total(), 4U);
    EXPECT_EQ(left.count(request_end::in_time), 2U);
    EXPECT_DOUBLE_EQ(left.share(request_end::refused), 0.25);
    EXPECT_DOUBLE_EQ(left.sends_per_request(), 2.0);
    EXPECT_NEAR(left.percentile(0.99), 2500, 30);
}

} // namespace
} // namespace carawayway::bench
