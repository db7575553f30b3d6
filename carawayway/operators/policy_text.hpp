// Edits single values in a policy document and preserves its comments and order.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace carawayway::operators {

// Sets the key in the section and adds both if they are missing. Without a value, removes the key. `document`
// must be a valid policy document, and `value` must not have line breaks.
std::string with_value(std::string_view document, std::string_view section, std::string_view key,
                       const std::optional<std::string>& value);

// Generates a random, practically unique change ID.
std::string fresh_change_id();

// Returns the document with a fresh change ID.
std::string with_fresh_change_id(std::string_view document);

} // namespace carawayway::operators
