// Tests that editing a value in a policy document changes nothing else.
#include "Tests/operators/editor_fixture.hpp"
#include "carawayway/config/policy_reader.hpp"
#include "carawayway/operators/policy_text.hpp"

#include <rapidcheck.h>

namespace carawayway::operators {
namespace {

TEST(policy_text_test, comments_and_order_are_preserved) {
    const std::string before =
        "; head\n[policy]\nchange_id = a\n# note\n\n[server s1]\nslots=4 \n[region r]\n";
    EXPECT_EQ(with_value(before, "server s1", "slots", "5"),
              "; head\n[policy]\nchange_id = a\n# note\n\n[server s1]\nslots = 5\n[region r]\n");
    EXPECT_EQ(
        with_value(before, "server s1", "state", "draining"),
        "; head\n[policy]\nchange_id = a\n# note\n\n[server s1]\nslots=4 \nstate = draining\n[region r]\n");
    EXPECT_EQ(with_value(before, "region r", "capacity", "3"), before + "capacity = 3\n");
    EXPECT_EQ(with_value(before, "drain", "entries", "e1"), before + "\n[drain]\nentries = e1\n");
    EXPECT_EQ(with_value(before, "drain", "entries", std::nullopt), before);
    EXPECT_EQ(
        with_value(with_value(before, "region r", "capacity", "3"), "region r", "capacity", std::nullopt),
        before);
}

TEST(policy_text_test, only_the_named_value_changes_in_any_policy) {
    EXPECT_TRUE(rc::check([] {
        auto policy = config::arbitrary_policy();
        policy.change_id = "change-1";
        const auto text = config::to_ini(policy);
        auto edited = with_value(text, "domain d0", "state", "draining");
        edited = with_value(edited, "policy", "change_id", "change-2");
        policy.failure_domains.front().state = config::administrative_state::draining;
        policy.change_id = "change-2";
        std::vector<config::diagnostic> diagnostics;
        RC_ASSERT(config::read_policy(edited, "policy", diagnostics) == policy);
    }));
}

TEST(policy_text_test, fresh_change_ids_differ_and_are_valid) {
    const auto first = with_fresh_change_id(sample_document("change-1"));
    EXPECT_NE(first, with_fresh_change_id(sample_document("change-1")));
    std::vector<config::diagnostic> diagnostics;
    EXPECT_TRUE(config::read_valid_policy(first, "policy", diagnostics).has_value());
}

} // namespace
} // namespace carawayway::operators
