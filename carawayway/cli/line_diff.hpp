// Line-based difference of two texts.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace carawayway::cli {

enum class line_origin : std::uint8_t { both, removed, added };

struct diff_line {
    line_origin origin = line_origin::both;
    std::string text;

    bool operator==(const diff_line&) const = default;
};

// Returns the lines of both texts in order, as the shortest difference. When the texts differ in more than
// 1000 lines, all lines between the common start and end are removed and added instead.
std::vector<diff_line> diff_lines(std::string_view before, std::string_view after);

// Formats removed lines with "-" and added lines with "+", with two lines of context. Empty when the texts
// are equal.
std::string format_diff(const std::vector<diff_line>& lines);

} // namespace carawayway::cli
