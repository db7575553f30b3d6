// Levenshtein distance over short names.
#include "carawayway/config/nearest_name.hpp"

#include <algorithm>
#include <numeric>
#include <vector>

namespace carawayway::config {

namespace {

// Longer names are no typing errors, and comparing them would let a hostile file cost much time.
constexpr std::size_t maximum_compared_length = 64;

std::size_t edit_distance(std::string_view left, std::string_view right) {
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t line = 1; line <= left.size(); ++line) {
        std::size_t diagonal = row[0];
        row[0] = line;
        for (std::size_t column = 1; column <= right.size(); ++column) {
            const std::size_t replaced = diagonal + (left[line - 1] == right[column - 1] ? 0 : 1);
            diagonal = row[column];
            row[column] = std::min({replaced, row[column] + 1, row[column - 1] + 1});
        }
    }
    return row.back();
}

} // namespace

std::string_view nearest_name(std::string_view name, std::span<const std::string_view> candidates) {
    if (name.size() > maximum_compared_length) {
        return {};
    }
    std::string_view nearest;
    std::size_t smallest = std::max<std::size_t>(name.size(), 1); // more edits than this share nothing
    for (const auto candidate : candidates) {
        if (candidate.size() > maximum_compared_length) {
            continue;
        }
        const std::size_t distance = edit_distance(name, candidate);
        if (distance < smallest) {
            smallest = distance;
            nearest = candidate;
        }
    }
    return nearest;
}

} // namespace carawayway::config
