// Reads the settings file of an entry instance.
#pragma once

#include "carawayway/config/diagnostic.hpp"
#include "carawayway/config/instance_settings.hpp"

#include <optional>
#include <string_view>
#include <vector>

namespace carawayway::config {

// Returns nothing if and only if it appended diagnostics. Does not resolve or read the files that the
// settings name. Does not throw for any text.
std::optional<instance_settings> read_settings(std::string_view text, std::string_view file,
                                               std::vector<diagnostic>& diagnostics);

} // namespace carawayway::config
