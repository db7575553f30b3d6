// The parts of a split receive their weights, and objects keep their part.
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
    route made;
    made.name = "split";
    made.targets = std::move(targets);
    return made;
}

std::uint64_t hash_of(int object) {
    return base::hash_bytes(std::to_string(object));
}

// Guards against weights that are missed because there are few objects and some are used far more than
// others.
TEST(traffic_splitter, keeps_the_weights_with_few_objects) {
    for (const double weight : {5.0, 10.0, 50.0}) {
        traffic_splitter chooser;
        const auto item = split({{"main", 100.0 - weight}, {"other", weight}});
        std::mt19937 random(seed);
        std::array<int, 2> counts{};
        for (int request = 0; request < 2000; ++request) {
            const int object = static_cast<int>(random() % 10) * static_cast<int>(random() % 3);
            ++counts.at(chooser.choose(item, hash_of(object)));
        }
        EXPECT_NEAR(counts[1] / 2000.0, weight / 100.0, 0.05) << weight;
    }
}

// Guards against an object that alternates between the servers of two services and is held by none.
TEST(traffic_splitter, most_requests_of_an_object_stay_with_one_part) {
    traffic_splitter chooser;
    const auto item = split({{"main", 70.0}, {"other", 30.0}});
    std::mt19937 random(seed);
    std::map<int, std::array<int, 2>> by_object;
    for (int request = 0; request < 20000; ++request) {
        const int object = static_cast<int>(random() % 100);
        ++by_object[object].at(chooser.choose(item, hash_of(object)));
    }
    double kept = 0.0;
    for (const auto& [object, counts] : by_object) {
        kept += std::max(counts[0], counts[1]);
    }
    EXPECT_GT(kept / 20000.0, 0.9);
}

// Guards against old weights that are paid back after a change of the configuration.
TEST(traffic_splitter, a_change_of_weights_starts_anew) {
    traffic_splitter chooser;
    const auto before = split({{"main", 100.0}, {"other", 0.0}});
    const auto after = split({{"main", 50.0}, {"other", 50.0}});
    for (int request = 0; request < 1000; ++request) {
        EXPECT_EQ(chooser.choose(before, hash_of(request)), 0U);
    }
    int other = 0;
    for (int request = 0; request < 200; ++request) {
        other += chooser.choose(after, hash_of(request)) == 1 ? 1 : 0;
    }
    EXPECT_NEAR(other, 100, 20);
}

TEST(traffic_splitter, one_target_or_no_weight_takes_the_first) {
    traffic_splitter chooser;
    EXPECT_EQ(chooser.choose(split({{"only", 1.0}}), 7), 0U);
    EXPECT_EQ(chooser.choose(split({{"a", 0.0}, {"b", 0.0}}), 7), 0U);
}

} // namespace
} // namespace carawayway::routing
