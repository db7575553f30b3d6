// Tests which gateway of a failure domain watches the store for the others.
#include "carawayway/placement/gateway_map.hpp"

#include <gtest/gtest.h>

#include <set>

namespace carawayway::placement {
namespace {

constexpr base::time_point start{std::chrono::hours{1}};
const std::vector<std::string> names{"a1-1", "a1-2", "a1-3", "a1-4"};

gateway_map map_of(const std::string& own) {
    gateway_map map({own, "a1", "a", {{"a1", "a"}, {"a2", "a"}}});
    for (const auto& name : names) {
        map.put({name, "a1", "a", {}, {}, {}}, start);
    }
    map.put({"a2-1", "a2", "a", {}, {}, {}}, start);
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
        map.erase(leader->name, start);
    }
    ADD_FAILURE() << "the last gateway of the domain still follows another one";
}

// Guards against gateways that are forgotten while they may go on serving, and against remembering for ever
// those that are gone.
TEST(gateway_map, departed_gateways_may_run_for_some_time) {
    auto map = map_of("a1-1");
    const auto others = map.others_that_may_run(start).size();
    EXPECT_EQ(others, names.size());
    map.erase("a1-2", start);
    EXPECT_FALSE(map.all().contains("a1-2"));
    EXPECT_EQ(map.others_that_may_run(start).size(), others);
    EXPECT_EQ(map.others_that_may_run(start + gateway_map::departed_memory).size(), others - 1);
    map.put({"a1-2", "a1", "a", {}, {}, {}}, start);
    EXPECT_EQ(map.others_that_may_run(start).size(), others);
}

} // namespace
} // namespace carawayway::placement
