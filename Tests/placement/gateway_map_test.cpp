// Tests which gateway of a failure domain watches the store for the others.
#include "carawayway/placement/gateway_map.hpp"

#include <gtest/gtest.h>

#include <set>

namespace carawayway::placement {
namespace {

const std::vector<std::string> names{"a1-1", "a1-2", "a1-3", "a1-4"};

gateway_map map_of(const std::string& own) {
    gateway_map map({own, "a1", "a", {{"a1", "a"}, {"a2", "a"}}});
    for (const auto& name : names) {
        map.put({name, "a1", "a", {}, {}, {}});
    }
    map.put({"a2-1", "a2", "a", {}, {}, {}});
    return map;
}

// Guards against gateways that follow each other in a cycle, so that none watches the store.
TEST(gateway_map, all_gateways_of_a_domain_agree_on_the_leader) {
    std::set<std::string> leaders;
    for (const auto& name : names) {
        const auto leader = map_of(name).leader_of_own_domain();
        leaders.insert(leader ? leader->name : name);
    }
    ASSERT_EQ(leaders.size(), 1U);
    EXPECT_FALSE(map_of(*leaders.begin()).leader_of_own_domain().has_value());
}

// Guards against following a gateway that has left.
TEST(gateway_map, another_gateway_replaces_a_leader_that_left) {
    auto map = map_of("a1-1");
    for (std::size_t removed = 0; removed < names.size(); ++removed) {
        const auto leader = map.leader_of_own_domain();
        if (!leader) {
            return;
        }
        EXPECT_EQ(leader->failure_domain, "a1");
        map.erase(leader->name);
    }
    ADD_FAILURE() << "the last gateway of the domain still follows another one";
}

} // namespace
} // namespace carawayway::placement
