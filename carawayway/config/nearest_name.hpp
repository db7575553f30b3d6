// Suggests a known name for a mistyped one.
#pragma once

#include <span>
#include <string_view>

namespace carawayway::config {

// Returns the candidate with the smallest edit distance; empty if none is similar.
std::string_view nearest_name(std::string_view name, std::span<const std::string_view> candidates);

} // namespace carawayway::config
