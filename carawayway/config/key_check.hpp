// Checks the text of a value against the table of known keys.
#pragma once

#include "carawayway/config/key_table.hpp"

#include <string_view>

namespace carawayway::config {

// Whether `text` is a value of the key's kind and within its range.
bool accepts(const key_description& key, std::string_view text);

// [a-z0-9-], 1 to 63 characters: names become parts of request IDs, section headers and metrics.
bool is_name(std::string_view text);

} // namespace carawayway::config
