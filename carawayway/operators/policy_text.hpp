// Changes of single values in a policy document that keep its comments and order.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace carawayway::operators {

// Sets the key of the section, adding both where they are missing; no value removes the key. `document` must
// be a valid policy document, and `value` must have no line breaks.
std::string with_value(std::string_view document, std::string_view section, std::string_view key,
                       const std::optional<std::string>& value);

// A change ID that no other change has.
std::string fresh_change_id();

// The document with a fresh change ID.
std::string with_fresh_change_id(std::string_view document);

} // namespace carawayway::operators
