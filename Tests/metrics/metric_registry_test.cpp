// Guards the Prometheus output: wrong cumulative buckets or unescaped labels would make dashboards show wrong
// values without an error.
#include "carawayway/metrics/metric_registry.hpp"

#include <fmt/format.h>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace carawayway::metrics {
namespace {

using testing::HasSubstr;
using testing::Not;
using namespace std::chrono_literals;

TEST(metric_registry_test, buckets_are_cumulative_and_end_with_the_count) {
    metric_registry registry(10);
    registry.declare("wait_seconds", metric_type::histogram, "Wait.");
    registry.observe("wait_seconds", {{"service", "durum"}}, 50us);
    registry.observe("wait_seconds", {{"service", "durum"}}, 1ms);
    registry.observe("wait_seconds", {{"service", "durum"}}, 20s);
    const auto text = registry.to_prometheus();
    EXPECT_THAT(text, HasSubstr("# TYPE wait_seconds histogram"));
    EXPECT_THAT(text, HasSubstr("wait_seconds_bucket{service=\"durum\",le=\"10\"} 2\n"));
    EXPECT_THAT(text, HasSubstr("wait_seconds_bucket{service=\"durum\",le=\"+Inf\"} 3\n"));
    EXPECT_THAT(text, HasSubstr("wait_seconds_count{service=\"durum\"} 3\n"));
}

TEST(metric_registry_test, label_values_are_escaped) {
    metric_registry registry(10);
    registry.declare("requests_total", metric_type::counter, "Requests.");
    registry.add("requests_total", {{"customer", "a\"} 1\nx"}});
    EXPECT_THAT(registry.to_prometheus(), HasSubstr("customer=\"a\\\"} 1\\nx\"} 1\n"));
}

TEST(metric_registry_test, label_sets_above_the_limit_share_one_series) {
    metric_registry registry(3);
    registry.declare("requests_total", metric_type::counter, "Requests.");
    for (int index = 0; index < 100; ++index) {
        registry.add("requests_total", {{"customer", fmt::format("c{}", index)}});
    }
    EXPECT_THAT(registry.to_prometheus(), HasSubstr("customer=\"other\"} 97\n"));
    EXPECT_THAT(registry.to_prometheus(), Not(HasSubstr("c50")));
}

TEST(metric_registry_test, a_quantile_is_the_upper_edge_of_its_bin) {
    metric_registry registry(3);
    registry.declare("wait_seconds", metric_type::histogram, "Wait.");
    for (int index = 0; index < 100; ++index) {
        registry.observe("wait_seconds", {}, index < 90 ? 1100us : 90ms);
    }
    EXPECT_NEAR(registry.quantile("wait_seconds", {}, 0.5), 0.00126, 0.0001);
    EXPECT_NEAR(registry.quantile("wait_seconds", {}, 0.99), 0.1, 0.01);
    EXPECT_EQ(registry.quantile("wait_seconds", {{"x", "y"}}, 0.5), 0.0);
}

} // namespace
} // namespace carawayway::metrics
