// Finds the known name that a mistyped name most likely stands for.
#pragma once

#include <span>
#include <string_view>

namespace carawayway::config {

// The candidate with the smallest edit distance; empty when none is similar.
std::string_view nearest_name(std::string_view name, std::span<const std::string_view> candidates);

} // namespace carawayway::config
