// Tests the checks before a policy is written, and the edits for drains and shift caps.
#include "Tests/operators/editor_fixture.hpp"
#include "carawayway/config/policy_reader.hpp"

#include <limits>

namespace carawayway::operators {
namespace {

using base::error_kind;

class policy_change_test : public testing::Test {
protected:
    static config::policy read(const std::string& from) {
        std::vector<config::diagnostic> diagnostics;
        return config::read_valid_policy(from, "policy", diagnostics).value();
    }

    std::optional<std::string> drain(drain_kind kind, const std::string& name,
                                     drain_state target = drain_state::draining) {
        drain_request request;
        request.kind = kind;
        request.name = name;
        return with_drain_state(text, request, target, entries, error);
    }

    std::string text = sample_document("change-1");
    entry_names entries{"north-1", "south-1"};
    call_error error;
};

TEST_F(policy_change_test, draining_and_undraining_change_only_the_state) {
    const auto draining = drain(drain_kind::domain, "n1").value();
    auto expected = read(text);
    expected.failure_domains[0].state = config::administrative_state::draining;
    expected.comment = "drain domain n1";
    EXPECT_EQ(read(draining), expected);
    text = draining;
    EXPECT_EQ(drain(drain_kind::domain, "n1"), draining) << "a repeated drain must not be a change";
    const auto active = drain(drain_kind::domain, "n1", drain_state::active).value();
    EXPECT_EQ(read(active).failure_domains[0].state, config::administrative_state::active);
    EXPECT_EQ(read(active).comment, "undrain domain n1");
}

TEST_F(policy_change_test, entry_instances_are_drained_and_undrained_independently) {
    text = drain(drain_kind::entry, "north-1").value();
    text = drain(drain_kind::entry, "south-1").value();
    EXPECT_EQ(read(text).draining_entries, (entry_names{"north-1", "south-1"}));
    entries = {"south-1"}; // north-1 has left since
    text = drain(drain_kind::entry, "north-1", drain_state::active).value();
    text = drain(drain_kind::entry, "south-1", drain_state::active).value();
    EXPECT_TRUE(read(text).draining_entries.empty());
}

TEST_F(policy_change_test, unknown_names_are_rejected_with_the_nearest_known_name) {
    for (const auto kind : {drain_kind::server, drain_kind::domain, drain_kind::entry}) {
        error = {};
        EXPECT_FALSE(drain(kind, "stock-11").has_value());
        EXPECT_EQ(error.kind, error_kind::not_found);
    }
    EXPECT_FALSE(drain(drain_kind::server, "stock-11").has_value());
    EXPECT_NE(error.detail.find("stock-1"), std::string::npos) << error.detail;
    set_shift_cap_request request;
    request.service = "stok";
    EXPECT_FALSE(with_shift_cap(text, request, error).has_value());
    EXPECT_EQ(error.kind, error_kind::not_found);
}

TEST_F(policy_change_test, a_comment_cannot_add_lines_to_the_document) {
    drain_request request;
    request.kind = drain_kind::server;
    request.name = "stock-1";
    request.comment = "x\n[region z]";
    EXPECT_FALSE(with_drain_state(text, request, drain_state::draining, entries, error).has_value());
    EXPECT_EQ(error.kind, error_kind::request_invalid);
}

TEST_F(policy_change_test, a_shift_cap_request_changes_only_the_given_values) {
    set_shift_cap_request request;
    request.service = "stock";
    request.share = 0.25;
    request.requests_per_second = 40.0;
    auto expected = read(text).services[0].cap;
    expected.share = 0.25;
    expected.requests_per_second = 40.0;
    text = with_shift_cap(text, request, error).value();
    EXPECT_EQ(read(text).services[0].cap, expected);
    EXPECT_EQ(with_shift_cap(text, request, error), text);
    set_shift_cap_request removal;
    removal.service = "stock";
    removal.window_ms = 5000;
    removal.remove_requests_per_second = true;
    expected.window = std::chrono::seconds(5);
    expected.requests_per_second.reset();
    text = with_shift_cap(text, removal, error).value();
    EXPECT_EQ(read(text).services[0].cap, expected);
}

TEST_F(policy_change_test, shift_caps_out_of_range_are_rejected) {
    set_shift_cap_request request;
    request.service = "stock";
    const auto refused = [&] {
        error = {};
        const auto edited = with_shift_cap(text, request, error);
        return edited && !check_change(with_fresh_change_id(*edited), {2, text}, entries, error) &&
               error.kind == error_kind::policy_invalid;
    };
    for (const double share :
         {-0.1, 1.1, std::numeric_limits<double>::quiet_NaN(), std::numeric_limits<double>::infinity()}) {
        request.share = share;
        EXPECT_TRUE(refused()) << share;
    }
    request.share = flatbuffers::nullopt;
    for (const auto window : {std::int64_t{0}, std::int64_t{-1}, std::numeric_limits<std::int64_t>::max()}) {
        request.window_ms = window;
        EXPECT_TRUE(refused()) << window;
    }
}

TEST_F(policy_change_test, all_problems_of_a_document_are_reported) {
    const auto before = text;
    text = with_value(text, "server stock-1", "domain", "n9");
    text = with_value(text, "region south", "capacity", "100");
    text = with_value(text, "service stock", "shift_cap_share", "7");
    text = with_value(text, "service stock", "unknown_key", "1");
    EXPECT_FALSE(check_change(text, {2, before}, entries, error).has_value());
    EXPECT_EQ(error.kind, error_kind::policy_invalid);
    EXPECT_EQ(error.diagnostics.size(), 2U)
        << "references and capacities are checked only after values and keys are valid";
    text = with_value(text, "service stock", "unknown_key", std::nullopt);
    text = with_value(text, "service stock", "shift_cap_share", "0.7");
    EXPECT_FALSE(check_change(text, {2, before}, entries, error).has_value());
    EXPECT_EQ(error.diagnostics.size(), 2U) << "the unknown failure domain and the capacity";
}

TEST_F(policy_change_test, drains_must_name_known_entry_instances_and_leave_one_active) {
    const auto check = [&](const std::string& names) {
        const auto next = with_fresh_change_id(with_value(text, "drain", "entries", names));
        return check_change(next, {2, text}, entries, error).has_value();
    };
    EXPECT_TRUE(check("north-1"));
    EXPECT_FALSE(check("north-2"));
    EXPECT_FALSE(check("north-1, south-1"));
    text = with_value(text, "drain", "entries", "north-2");
    EXPECT_TRUE(check("north-2, south-1")) << "a name that is already in the policy may have left";
    entries.clear();
    EXPECT_TRUE(check("anything")) << "names cannot be checked without known members";
}

} // namespace
} // namespace carawayway::operators
