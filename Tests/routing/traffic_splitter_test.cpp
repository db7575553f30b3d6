// Tests that targets receive their weights and that objects stay with their target.
#include "carawayway/base/hash.hpp"
#include "carawayway/routing/traffic_splitter.hpp"

#include <gtest/gtest.h>

#include <array>
#include <map>
#include <random>

namespace carawayway::routing {
namespace {

constexpr std::uint32_t seed = 20261203;

route split(std::vector<weighted_service> targets) {
    route result;
    result.name = "split";
    result.targets = std::move(targets);
    return result;
}

std::uint64_t hash_of(int object) {
    return base::hash_bytes(std::to_string(object));
}

// Guards against missing the weights when there are few objects and some are used much more than others.
TEST(traffic_splitter, keeps_the_weights_with_few_objects) {
    for (const double weight : {5.0, 10.0, 50.0}) {
        traffic_splitter splitter;
        const auto split_route = split({{"main", 100.0 - weight}, {"other", weight}});
        std::mt19937 random(seed);
        std::array<int, 2> counts{};
        for (int request = 0; request < 2000; ++request) {
            const int object = static_cast<int>(random() % 10) * static_cast<int>(random() % 3);
            ++counts.at(splitter.choose(split_route, hash_of(object)));
        }
        EXPECT_NEAR(counts[1] / 2000.0, weight / 100.0, 0.05) << weight;
    }
}

// Guards against an object that alternates between two services, so that no server has it cached.
TEST(traffic_splitter, most_requests_of_an_object_go_to_one_target) {
    traffic_splitter splitter;
    const auto split_route = split({{"main", 70.0}, {"other", 30.0}});
    std::mt19937 random(seed);
    std::map<int, std::array<int, 2>> by_object;
    for (int request = 0; request < 20000; ++request) {
        const int object = static_cast<int>(random() % 100);
        ++by_object[object].at(splitter.choose(split_route, hash_of(object)));
    }
    double kept = 0.0;
    for (const auto& [object, counts] : by_object) {
        kept += std::max(counts[0], counts[1]);
    }
    EXPECT_GT(kept / 20000.0, 0.9);
}

// Guards against requests under the old weights that are balanced out after a change of the configuration.
TEST(traffic_splitter, a_change_of_weights_resets_the_counts) {
    traffic_splitter splitter;
    const auto before = split({{"main", 100.0}, {"other", 0.0}});
    const auto after = split({{"main", 50.0}, {"other", 50.0}});
    for (int request = 0; request < 1000; ++request) {
        EXPECT_EQ(splitter.choose(before, hash_of(request)), 0U);
    }
    int other = 0;
    for (int request = 0; request < 200; ++request) {
        other += splitter.choose(after, hash_of(request)) == 1 ? 1 : 0;
    }
    EXPECT_NEAR(other, 100, 20);
}

TEST(traffic_splitter, chooses_the_first_target_without_alternatives_or_weights) {
    traffic_splitter splitter;
    EXPECT_EQ(splitter.choose(split({{"only", 1.0}}), 7), 0U);
    EXPECT_EQ(splitter.choose(split({{"a", 0.0}, {"b", 0.0}}), 7), 0U);
}

} // namespace
} // namespace carawayway::routing
