// Compares names by their Levenshtein distance.
#include "carawayway/config/nearest_name.hpp"

#include <algorithm>
#include <numeric>
#include <vector>

namespace carawayway::config {

namespace {

// Longer names are unlikely to be typing errors, and comparing them would take long in a malicious file.
constexpr std::size_t maximum_compared_bytes = 64;

std::size_t edit_distance(std::string_view left, std::string_view right) {
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t row_index = 1; row_index <= left.size(); ++row_index) {
        std::size_t diagonal = row[0];
        row[0] = row_index;
        for (std::size_t column = 1; column <= right.size(); ++column) {
            const std::size_t substitution = diagonal + (left[row_index - 1] == right[column - 1] ? 0 : 1);
            diagonal = row[column];
            row[column] = std::min({substitution, row[column] + 1, row[column - 1] + 1});
        }
    }
    return row.back();
}

} // namespace

std::string_view nearest_name(std::string_view name, std::span<const std::string_view> candidates) {
    if (name.size() > maximum_compared_bytes) {
        return {};
    }
    std::string_view nearest;
    // A candidate at this distance or more has nothing in common with `name`.
    std::size_t smallest_distance = std::max<std::size_t>(name.size(), 1);
    for (const auto candidate : candidates) {
        if (candidate.size() > maximum_compared_bytes) {
            continue;
        }
        const std::size_t distance = edit_distance(name, candidate);
        if (distance < smallest_distance) {
            smallest_distance = distance;
            nearest = candidate;
        }
    }
    return nearest;
}

} // namespace carawayway::config
