// Guards the judge of recorded runs: a rule that never fires would let a broken run pass.
#include "Tests/support/history_checker.hpp"

#include <gtest/gtest.h>

namespace carawayway::test_support {
namespace {

using namespace std::chrono_literals;
using enum base::execution_state;

constexpr auto idempotent = config::request_semantics::idempotent;

event at(base::duration time, event_content content) {
    return {base::time_point{time}, std::move(content)};
}

history_limits limits() {
    history_limits result;
    result.server_slots = {{"s1", 1}, {"s2", 2}};
    result.region_capacity = {{"uusimaa", 2}};
    result.shift_caps = {{"varaus", {0.1, 10s, std::nullopt}}, {"siirto", {1.0, 10s, 0.2}}};
    result.reference_rates = {{{"varaus", "ege"}, 2.0}};
    return result;
}

// A history without violations that reaches most of the limits.
history valid_history() {
    history events{
        at(1s, caller_sent{"a", 1}),
        at(2s, execution_started{"a", "s1", "uusimaa", 1}),
        at(2s, execution_started{"b", "s2", "uusimaa", 2}),
        at(3s, execution_finished{"a", "s1", 11}),
        at(3s, execution_started{"c", "s1", "uusimaa", 3}),
        at(4s, caller_answered{"a", 1, executed, 11}),
        at(4s, server_stopped{"s1"}),
        at(4s, execution_started{"c", "s2", "uusimaa", 3}),
        at(5s, execution_cancelled{"b", "s2"}),
        at(6s, execution_finished{"c", "s2", 13}),
        at(1s, caller_sent{"c", 3, idempotent}),
        at(7s, caller_answered{"c", 3, executed, 13}),
        at(7s, caller_answered{"b", 2, unknown, 0}),
        at(7s, caller_answered{"a", 9, not_executed, 0}), // same ID, other content
        at(8s, drain_effective{"s1"}),
        at(11s, execution_started{"d", "s1", "uusimaa", 4}),
        at(12s, drain_ended{"s1"}),
        at(12s, execution_finished{"d", "s1", 14}),
        at(13s, execution_started{"e", "s1", "uusimaa", 5}),
        at(1s, revision_seen{"e1", 1, 5}),
        at(2s, revision_seen{"e1", 1, 6}),
        at(3s, revision_seen{"e1", 2, 5}),
        at(3s, request_moved{"varaus", "ege", "ege"}),
        at(20s, request_moved{"siirto", "ege", "marmara"}),
        at(20s, request_moved{"siirto", "ic-anadolu", "marmara"}),
    };
    for (const auto time : {20s, 29s, 30s, 31s, 39s, 39s}) {
        events.push_back(at(time, request_moved{"varaus", "ege", "marmara"}));
    }
    return events;
}

// The rules that are violated when `extra` is added to the valid history.
std::vector<history_rule> violated_rules_with(const history& extra) {
    history events = valid_history();
    events.insert(events.end(), extra.begin(), extra.end());
    std::vector<history_rule> rules;
    for (const auto& found : check(events, limits())) {
        rules.push_back(found.rule);
    }
    return rules;
}

using rules = std::vector<history_rule>;

TEST(history_checker_test, a_valid_history_passes) {
    EXPECT_EQ(violated_rules_with({}), rules{});
}

TEST(history_checker_test, a_second_execution_is_reported) {
    EXPECT_EQ(violated_rules_with({at(20s, execution_started{"a", "s2", "ege", 1})}),
              rules{history_rule::executed_at_most_once});
}

TEST(history_checker_test, a_false_not_executed_answer_is_reported_before_and_after_the_execution) {
    EXPECT_EQ(violated_rules_with({at(9s, caller_answered{"b", 2, not_executed, 0})}),
              rules{history_rule::not_executed_is_true});
    EXPECT_EQ(violated_rules_with({at(1s, caller_answered{"b", 2, not_executed, 0})}),
              rules{history_rule::not_executed_is_true});
}

TEST(history_checker_test, answers_to_other_requests_and_truncated_answers_are_reported) {
    EXPECT_EQ(violated_rules_with({at(9s, caller_answered{"a", 1, executed, 13})}),
              rules{history_rule::answer_belongs_to_request});
    EXPECT_EQ(violated_rules_with({at(9s, caller_answered{"a", 9, executed, 11})}),
              rules{history_rule::answer_belongs_to_request});
    EXPECT_EQ(violated_rules_with({at(9s, caller_answered{"b", 2, executed, 0})}),
              rules{history_rule::answer_belongs_to_request});
}

TEST(history_checker_test, a_server_above_its_slots_is_reported) {
    EXPECT_EQ(violated_rules_with({at(14s, execution_started{"f", "s1", "ege", 6})}),
              rules{history_rule::server_capacity});
}

TEST(history_checker_test, a_region_above_its_capacity_is_reported) {
    EXPECT_EQ(violated_rules_with({at(14s, execution_started{"f", "s3", "uusimaa", 6}),
                                   at(14s, execution_started{"g", "s4", "uusimaa", 6})}),
              rules{history_rule::region_capacity});
}

TEST(history_checker_test, moves_above_the_share_are_reported_at_any_position_of_the_window) {
    EXPECT_EQ(violated_rules_with({at(25s, request_moved{"varaus", "ege", "marmara"})}),
              (rules{history_rule::shift_cap, history_rule::shift_cap}));
    EXPECT_EQ(violated_rules_with({at(39s, request_moved{"varaus", "ege", "marmara"})}),
              (rules{history_rule::shift_cap, history_rule::shift_cap, history_rule::shift_cap}));
}

TEST(history_checker_test, the_share_applies_to_arrivals_without_a_reference_rate) {
    history events;
    for (int index = 0; index < 30; ++index) {
        events.push_back(at(50s + index * 1ms, request_arrived{"varaus", "pohjanmaa"}));
    }
    for (int index = 0; index < 3; ++index) {
        events.push_back(at(51s, request_moved{"varaus", "pohjanmaa", "uusimaa"}));
    }
    EXPECT_EQ(violated_rules_with(events), rules{});
    events.push_back(at(52s, request_moved{"varaus", "pohjanmaa", "uusimaa"}));
    EXPECT_EQ(violated_rules_with(events), rules{history_rule::shift_cap});
}

TEST(history_checker_test, moves_above_the_absolute_cap_are_reported) {
    EXPECT_EQ(violated_rules_with({at(29s, request_moved{"siirto", "ege", "marmara"})}),
              rules{history_rule::shift_cap});
}

TEST(history_checker_test, an_execution_on_a_leaving_server_is_reported) {
    EXPECT_EQ(violated_rules_with(
                  {at(20s, drain_effective{"s2"}), at(23s + 1ns, execution_started{"f", "s2", "ege", 6})}),
              rules{history_rule::no_work_after_drain});
}

TEST(history_checker_test, a_decreasing_revision_is_reported) {
    EXPECT_EQ(violated_rules_with({at(9s, revision_seen{"e1", 1, 5})}),
              rules{history_rule::revision_never_reverts});
}

TEST(history_checker_test, valid_records_are_read_and_malformed_ones_rejected) {
    base::failure reason;
    const auto read = read_history(
        R"({"event":"caller_sent","time_ns":5,"id":"a","content":18446744073709551615,"semantics":"idempotent"}
{"event":"caller_answered","time_ns":6,"id":"a","content":1,"execution":"not-executed","body":2}
{"event":"execution_started","time_ns":7,"id":"a","server":"s","region":"r","content":1}
{"event":"execution_finished","time_ns":7,"id":"a","server":"s","body":2}
{"event":"execution_cancelled","time_ns":7,"id":"a","server":"s"}
{"event":"server_stopped","time_ns":7,"server":"s"}
{"event":"drain_effective","time_ns":7,"server":"s"}
{"event":"drain_ended","time_ns":7,"server":"s"}
{"event":"revision_seen","time_ns":8,"entry":"e","incarnation":1,"revision":-2}
{"event":"request_moved","time_ns":8,"service":"x","home_region":"h","serving_region":"r"}
{"event":"request_arrived","time_ns":9,"service":"x","home_region":"h"}
)",
        reason);
    ASSERT_TRUE(read.has_value()) << reason.detail;
    ASSERT_EQ(read->size(), std::variant_size_v<event_content>);
    for (std::size_t index = 0; index < read->size(); ++index) {
        EXPECT_EQ((*read)[index].content.index(), index);
    }
    EXPECT_EQ(std::get<caller_sent>((*read)[0].content).semantics, idempotent);
    for (const std::string line : {"{\"event\":\"server_stopped\",\"time_ns\":7}",
                                   "{\"event\":\"server_stopped\",\"time_ns\":7,\"server\":\"s\"",
                                   "{\"event\":\"nothing\",\"time_ns\":7}",
                                   "{\"event\":\"server_stopped\",\"time_ns\":\"x\",\"server\":\"s\"}", "{}",
                                   "x", "{\"event\":\"server_stopped\"\"time_ns\":7,\"server\":\"s\"}"}) {
        EXPECT_FALSE(read_history("\n" + line, reason).has_value()) << line;
        EXPECT_EQ(reason.detail, "invalid record in line 2");
    }
}

} // namespace
} // namespace carawayway::test_support
