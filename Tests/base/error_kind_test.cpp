// Guards the table of error properties: a kind that wrongly claims that a request did not run would let
// callers resend a request that may have run.
#include "carawayway/base/error_kind.hpp"
#include "carawayway/base/log.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <fstream>
#include <iterator>
#include <set>

namespace carawayway::base {
namespace {

TEST(error_kind_test, every_kind_has_a_distinct_name_that_maps_back) {
    std::set<std::string_view> names;
    for (std::size_t index = 0; index < error_kind_count; ++index) {
        const auto kind = static_cast<error_kind>(index);
        EXPECT_TRUE(names.insert(properties_of(kind).name).second);
        EXPECT_EQ(error_kind_from_name(properties_of(kind).name), kind);
    }
    EXPECT_FALSE(error_kind_from_name("no-such-kind").has_value());
}

TEST(error_kind_test, outcomes_after_dispatch_are_never_reported_as_not_executed) {
    for (const auto kind : {error_kind::server_lost, error_kind::answer_truncated, error_kind::peer_lost,
                            error_kind::deadline_exceeded, error_kind::request_id_owner_gone,
                            error_kind::request_id_owner_unreachable, error_kind::request_id_expired,
                            error_kind::store_outcome_unknown, error_kind::internal}) {
        EXPECT_EQ(properties_of(kind).execution, execution_state::unknown) << properties_of(kind).name;
    }
}

TEST(error_kind_test, an_unknown_outcome_never_advises_a_fresh_request_id) {
    for (std::size_t index = 0; index < error_kind_count; ++index) {
        const auto& properties = properties_of(static_cast<error_kind>(index));
        if (properties.execution == execution_state::unknown) {
            EXPECT_NE(properties.advice, retry_advice::fresh_request_id) << properties.name;
        }
    }
}

// Authors of callers rely on the page, so it must list every kind with its actual status and advice.
TEST(error_kind_test, the_callers_page_lists_the_properties_of_every_kind) {
    std::ifstream file(CALLERS_PAGE);
    const std::string page{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    for (std::size_t index = 0; index < error_kind_count; ++index) {
        const auto& properties = properties_of(static_cast<error_kind>(index));
        const auto row = fmt::format("| `{}` | {} | {} | {} |\n", properties.name, properties.status,
                                     to_string(properties.execution), to_string(properties.advice));
        EXPECT_NE(page.find(row), std::string::npos) << row;
    }
}

TEST(log_test, a_value_with_control_characters_cannot_forge_a_second_line) {
    EXPECT_EQ(format_log_line(log_level::info, "test", {{"a", 1}, {"b", "x\ny \"z\""}}),
              "level=info event=test a=1 b=\"x\\x0ay \\\"z\\\"\"");
}

} // namespace
} // namespace carawayway::base
