// The difference of two texts by lines.
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

// All lines of both texts in order. The shortest difference, except for texts that differ in thousands of
// lines, where the differing middle is given as a whole.
std::vector<diff_line> diff_lines(std::string_view before, std::string_view after);

// Changed lines with "-" and "+", each with some lines around it; empty when there is no difference.
std::string format_diff(const std::vector<diff_line>& lines);

} // namespace carawayway::cli
