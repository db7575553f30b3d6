// Checks the text of a value against the description of its key.
#pragma once

#include "carawayway/config/key_table.hpp"

#include <string_view>

namespace carawayway::config {

// Whether `text` is a value of the key's kind within the key's range.
bool is_valid_value(const key_description& key, std::string_view text);

// Whether `text` consists of 1 to 63 characters [a-z0-9-]. Names are part of request IDs, section headers and
// metrics.
bool is_valid_name(std::string_view text);

} // namespace carawayway::config
