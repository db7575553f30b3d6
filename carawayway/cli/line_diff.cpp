// Myers' greedy diff algorithm, applied to the lines between the common start and the common end.
#include "carawayway/cli/line_diff.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cstddef>
#include <span>

namespace carawayway::cli {

namespace {

constexpr std::size_t context_lines = 2;
constexpr std::ptrdiff_t maximum_differing_lines = 1000; // memory use grows with the square

using line_view = std::span<const std::string_view>;

std::vector<std::string_view> split(std::string_view text) {
    std::vector<std::string_view> lines;
    while (!text.empty()) {
        const auto end = std::min(text.find('\n'), text.size());
        lines.push_back(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return lines;
}

void append(std::vector<diff_line>& out, line_origin origin, line_view lines) {
    for (const auto line : lines) {
        out.push_back({origin, std::string(line)});
    }
}

// Finds the shortest path through the edit graph. For each number of differing lines, the trace holds the
// furthest position in `before` that is reached on each diagonal.
class shortest_path {
public:
    shortest_path(line_view before, line_view after) : m_before(before), m_after(after) {}

    // Returns false when the texts differ in more than maximum_differing_lines lines.
    bool search() {
        const auto limit = std::min(maximum_differing_lines, size(m_before) + size(m_after));
        for (std::ptrdiff_t distance = 0; distance <= limit; ++distance) {
            auto& reached = m_trace.emplace_back(2 * distance + 1, 0);
            for (std::ptrdiff_t diagonal = -distance; diagonal <= distance; diagonal += 2) {
                const auto end = skip_equal_lines(start_of(distance, diagonal), diagonal);
                reached[static_cast<std::size_t>(diagonal + distance)] = end;
                if (end >= size(m_before) && end - diagonal >= size(m_after)) {
                    return true;
                }
            }
        }
        return false;
    }

    // Returns all lines of both texts after a successful search.
    std::vector<diff_line> lines() const {
        std::vector<diff_line> reversed;
        auto position = size(m_before);
        auto diagonal = size(m_before) - size(m_after);
        for (auto distance = static_cast<std::ptrdiff_t>(m_trace.size()) - 1; distance >= 0; --distance) {
            const auto start = start_of(distance, diagonal);
            for (; position > start; --position) {
                reversed.push_back({line_origin::both, std::string(m_before[index(position - 1)])});
            }
            if (distance == 0) {
                break;
            }
            if (comes_from_above(distance, diagonal)) {
                reversed.push_back({line_origin::added, std::string(m_after[index(start - diagonal - 1)])});
                ++diagonal;
            } else {
                reversed.push_back({line_origin::removed, std::string(m_before[index(start - 1)])});
                --position;
                --diagonal;
            }
        }
        std::reverse(reversed.begin(), reversed.end());
        return reversed;
    }

private:
    static std::ptrdiff_t size(line_view lines) { return static_cast<std::ptrdiff_t>(lines.size()); }
    static std::size_t index(std::ptrdiff_t position) { return static_cast<std::size_t>(position); }

    std::ptrdiff_t reached(std::ptrdiff_t distance, std::ptrdiff_t diagonal) const {
        return m_trace[index(distance)][index(diagonal + distance)];
    }

    // Whether the last differing line on the path to this diagonal is an added line.
    bool comes_from_above(std::ptrdiff_t distance, std::ptrdiff_t diagonal) const {
        return diagonal == -distance || (diagonal != distance && reached(distance - 1, diagonal - 1) <
                                                                     reached(distance - 1, diagonal + 1));
    }

    // Position in `before` after the last differing line, before the equal lines that follow.
    std::ptrdiff_t start_of(std::ptrdiff_t distance, std::ptrdiff_t diagonal) const {
        if (distance == 0) {
            return 0;
        }
        return comes_from_above(distance, diagonal) ? reached(distance - 1, diagonal + 1)
                                                    : reached(distance - 1, diagonal - 1) + 1;
    }

    std::ptrdiff_t skip_equal_lines(std::ptrdiff_t position, std::ptrdiff_t diagonal) const {
        while (position < size(m_before) && position - diagonal < size(m_after) &&
               m_before[index(position)] == m_after[index(position - diagonal)]) {
            ++position;
        }
        return position;
    }

    line_view m_before;
    line_view m_after;
    std::vector<std::vector<std::ptrdiff_t>> m_trace;
};

} // namespace

std::vector<diff_line> diff_lines(std::string_view before, std::string_view after) {
    const auto old_lines = split(before);
    const auto new_lines = split(after);
    const auto [old_start, new_start] =
        std::mismatch(old_lines.begin(), old_lines.end(), new_lines.begin(), new_lines.end());
    const auto start = static_cast<std::size_t>(old_start - old_lines.begin());
    const auto shortest = std::min(old_lines.size(), new_lines.size());
    std::size_t common_suffix_length = 0;
    while (common_suffix_length < shortest - start &&
           old_lines[old_lines.size() - 1 - common_suffix_length] ==
               new_lines[new_lines.size() - 1 - common_suffix_length]) {
        ++common_suffix_length;
    }
    const line_view old_view(old_lines);
    const line_view old_middle = old_view.subspan(start, old_lines.size() - common_suffix_length - start);
    const line_view new_middle =
        line_view(new_lines).subspan(start, new_lines.size() - common_suffix_length - start);
    std::vector<diff_line> result;
    append(result, line_origin::both, old_view.first(start));
    shortest_path path(old_middle, new_middle);
    if (path.search()) {
        const auto middle = path.lines();
        result.insert(result.end(), middle.begin(), middle.end());
    } else {
        append(result, line_origin::removed, old_middle);
        append(result, line_origin::added, new_middle);
    }
    append(result, line_origin::both, old_view.last(common_suffix_length));
    return result;
}

std::string format_diff(const std::vector<diff_line>& lines) {
    std::vector<bool> shown(lines.size(), false);
    for (std::size_t line = 0; line < lines.size(); ++line) {
        if (lines[line].origin == line_origin::both) {
            continue;
        }
        const auto first = line - std::min(line, context_lines);
        const auto last = std::min(line + context_lines, lines.size() - 1);
        std::fill(shown.begin() + static_cast<std::ptrdiff_t>(first),
                  shown.begin() + static_cast<std::ptrdiff_t>(last) + 1, true);
    }
    std::string text;
    for (std::size_t line = 0; line < lines.size(); ++line) {
        if (!shown[line]) {
            continue;
        }
        if (line > 0 && !shown[line - 1] && !text.empty()) {
            text += "  ...\n";
        }
        const char mark = lines[line].origin == line_origin::both      ? ' '
                          : lines[line].origin == line_origin::removed ? '-'
                                                                       : '+';
        text += fmt::format("{} {}\n", mark, lines[line].text);
    }
    return text;
}

} // namespace carawayway::cli
