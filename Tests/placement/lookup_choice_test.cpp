// Which gateways callers are told to use.
#include "carawayway/placement/lookup_choice.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace carawayway::placement {
namespace {

using testing::ElementsAre;
using testing::IsEmpty;
using testing::UnorderedElementsAre;

gateway_map example() {
    gateway_map made({"g1", "a1", "a", {}});
    made.put({"g1", "a1", "a", "g1:80", "g1:81"});
    made.put({"g2", "a1", "a", "g2:80", "g2:81"});
    made.put({"g3", "a2", "a", "g3:80", "g3:81"});
    made.put({"g4", "b1", "b", "g4:80", "g4:81"});
    return made;
}

TEST(lookup_choice, names_the_gateways_of_the_callers_domain) {
    EXPECT_THAT(choose_gateways(example(), {"a1", "a", {}}), UnorderedElementsAre("g1:80", "g2:80"));
}

// Guards against callers that have no second address when the only gateway of their domain dies.
TEST(lookup_choice, adds_the_region_when_the_domain_has_one_gateway) {
    EXPECT_THAT(choose_gateways(example(), {"a2", "a", {}}), UnorderedElementsAre("g1:80", "g2:80", "g3:80"));
}

TEST(lookup_choice, goes_to_other_regions_only_when_the_own_has_none) {
    auto gateways = example();
    EXPECT_THAT(choose_gateways(gateways, {"b1", "b", {}}), ElementsAre("g4:80"));
    gateways.erase("g4");
    EXPECT_EQ(choose_gateways(gateways, {"b1", "b", {}}).size(), 3U);
}

// Guards against bodies that are sent to a region in which the service must not be handled.
TEST(lookup_choice, other_regions_must_be_allowed) {
    auto gateways = example();
    gateways.erase("g4");
    EXPECT_THAT(choose_gateways(gateways, {"b1", "b", {"b"}}), IsEmpty());
    EXPECT_EQ(choose_gateways(gateways, {"b1", "b", {"a", "b"}}).size(), 3U);
}

} // namespace
} // namespace carawayway::placement
