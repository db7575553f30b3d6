// Guards the difference that operators review before a change: it must be correct and as short as possible.
#include "carawayway/cli/line_diff.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>

namespace carawayway::cli {
namespace {

std::string join(const std::vector<std::string>& lines) {
    std::string text;
    for (const auto& line : lines) {
        text += line + "\n";
    }
    return text;
}

std::string text_without(const std::vector<diff_line>& lines, line_origin left_out) {
    std::string text;
    for (const auto& line : lines) {
        if (line.origin != left_out) {
            text += line.text + "\n";
        }
    }
    return text;
}

std::size_t longest_common(const std::vector<std::string>& left, const std::vector<std::string>& right) {
    std::vector<std::vector<std::size_t>> length(left.size() + 1, std::vector<std::size_t>(right.size() + 1));
    for (std::size_t row = 1; row <= left.size(); ++row) {
        for (std::size_t column = 1; column <= right.size(); ++column) {
            length[row][column] = left[row - 1] == right[column - 1]
                                      ? length[row - 1][column - 1] + 1
                                      : std::max(length[row - 1][column], length[row][column - 1]);
        }
    }
    return length[left.size()][right.size()];
}

TEST(line_diff_test, the_difference_is_shortest_and_contains_both_texts) {
    EXPECT_TRUE(rc::check([] {
        const auto line = rc::gen::element<std::string>("a", "b", "c", "");
        const auto before = *rc::gen::container<std::vector<std::string>>(line);
        const auto after = *rc::gen::container<std::vector<std::string>>(line);
        const auto lines = diff_lines(join(before), join(after));
        RC_ASSERT(text_without(lines, line_origin::added) == join(before));
        RC_ASSERT(text_without(lines, line_origin::removed) == join(after));
        const auto common = std::count_if(lines.begin(), lines.end(), [](const diff_line& item) {
            return item.origin == line_origin::both;
        });
        RC_ASSERT(static_cast<std::size_t>(common) == longest_common(before, after));
    }));
}

TEST(line_diff_test, texts_that_differ_in_most_lines_are_replaced_entirely) {
    std::string before = "same\n";
    std::string after = "same\n";
    for (int line = 0; line < 3000; ++line) {
        before += "old " + std::to_string(line) + "\n";
        after += "new " + std::to_string(line) + "\n";
    }
    const auto lines = diff_lines(before, after);
    EXPECT_EQ(text_without(lines, line_origin::added), before);
    EXPECT_EQ(text_without(lines, line_origin::removed), after);
}

TEST(line_diff_test, changes_are_shown_with_context) {
    const auto text = format_diff(diff_lines("1\n2\n3\n4\n5\n6\n7\n8\n9\n", "1\n2\n3\nx\n5\n6\n7\n8\ny\n"));
    EXPECT_EQ(text, "  2\n  3\n- 4\n+ x\n  5\n  6\n  7\n  8\n- 9\n+ y\n");
    EXPECT_EQ(format_diff(diff_lines("1\n", "1\n")), "");
}

} // namespace
} // namespace carawayway::cli
