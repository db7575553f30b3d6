// Heavy loads in the model deployment: who is served in time, and where the work goes. Each test names its
// pattern. Bounds come from the targets: 0.80 of the value over heavy days, and the platform's cap on moves
// between regions.
#include "bench/placement/fleet_model.hpp"

#include <gtest/gtest.h>

namespace placement_model {
namespace {

constexpr double target_in_time = 0.80;
// Share of a region's requests that may move between windows of 2 s, as the platform bounds it.
constexpr double shift_cap = 0.15;

model_result play(std::vector<region_options> regions, placement_rule rule = placement_rule::planned) {
    model_options options;
    options.regions = std::move(regions);
    options.rule = rule;
    return fleet_model(options).run();
}

// Pattern: callers and servers are spread alike. Guards against moves without need, each of which costs a
// first run.
TEST(load_patterns, even_load_stays_at_home) {
    const auto result = play({{"a", 8, 110}, {"b", 6, 110}, {"c", 6, 110}});
    EXPECT_GT(result.total().in_time_share(), 0.9);
    EXPECT_LT(static_cast<double>(result.total().far), 0.05 * static_cast<double>(result.total().requests));
}

// Pattern: a region has a third of the callers and an eighth of the servers. Guards against its callers
// waiting behind full servers while others idle.
TEST(load_patterns, a_region_with_few_servers_uses_those_of_others) {
    const std::vector<region_options> regions{{"a", 8, 110}, {"b", 2, 110}, {"c", 6, 110}};
    const auto planned = play(regions);
    EXPECT_GT(planned.regions.at("b").in_time_share(), target_in_time);
    EXPECT_LT(play(regions, placement_rule::affinity_only).regions.at("b").in_time_share(), target_in_time);
}

// Pattern: the load of the regions rises and falls in turn. Guards against plans that follow too late.
TEST(load_patterns, waves_are_followed) {
    const auto result =
        play({{"a", 8, 150, 0.55, 0.0}, {"b", 2, 150, 0.55, 0.33}, {"c", 6, 150, 0.55, 0.66}});
    EXPECT_GT(result.total().in_time_share(), target_in_time);
}

// Pattern: any server may take any request. Guards against servers that forget objects because too many pass
// through.
TEST(load_patterns, objects_keep_their_servers) {
    const std::vector<region_options> regions{{"a", 8, 110}, {"b", 6, 110}, {"c", 6, 110}};
    const auto planned = play(regions);
    const auto spread = play(regions, placement_rule::two_random);
    EXPECT_LT(planned.first_runs * 10, spread.first_runs);
    EXPECT_LT(planned.first_runs, planned.total().requests / 10);
}

// Pattern: more requests than the servers can run, for long. Guards against one queue that makes every answer
// late.
TEST(load_patterns, lasting_overload_still_serves_some_in_time) {
    const auto result = play({{"a", 8, 330}, {"b", 2, 330}, {"c", 6, 330}});
    EXPECT_GT(result.total().in_time_share(), 0.1);
    EXPECT_GT(result.total().refused, 0U);
}

// A deployment with many gateways that each see few requests, and first runs that are late in any case.
model_result play_start(std::uint32_t seed) {
    model_options options;
    options.regions = {{"a", 31, 220}, {"b", 10, 220}, {"c", 32, 220}};
    options.gateways_per_region = 20;
    options.objects_per_region = 240;
    options.objects_held = 24;
    options.first_run = std::chrono::milliseconds{1344};
    options.held_run = std::chrono::milliseconds{336};
    options.target_latency = std::chrono::milliseconds{800};
    options.deadline = std::chrono::seconds{6};
    options.length = std::chrono::seconds{16};
    options.seed = seed;
    return fleet_model(options).run();
}

// Pattern: all objects are new at once, and a region with few servers needs them all for first runs. Guards
// against its callers waiting behind queues of first runs while other regions idle.
TEST(load_patterns, a_start_with_new_objects_uses_the_servers_of_other_regions) {
    for (std::uint32_t seed = 1; seed <= 12; ++seed) {
        const auto result = play_start(seed);
        EXPECT_GT(result.regions.at("b").in_time_share(), 0.8 * result.regions.at("a").in_time_share());
    }
}

// The same load. Guards against gateways that each stay within the cap on moves and exceed it together.
TEST(load_patterns, many_gateways_keep_the_cap_on_moves_together) {
    for (std::uint32_t seed = 1; seed <= 12; ++seed) {
        EXPECT_LE(play_start(seed).largest_far_change, shift_cap);
    }
}

// Guards against results that depend on anything but the seed.
TEST(load_patterns, the_model_repeats) {
    const std::vector<region_options> regions{{"a", 4, 110}, {"b", 2, 110}};
    EXPECT_EQ(play(regions), play(regions));
}

} // namespace
} // namespace placement_model
