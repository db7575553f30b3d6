// Reads the settings of one entry instance.
#pragma once

#include "carawayway/config/diagnostic.hpp"
#include "carawayway/config/instance_settings.hpp"

#include <optional>
#include <string_view>
#include <vector>

namespace carawayway::config {

// Returns nothing exactly when it appended to `diagnostics`. File names are not resolved, and the files are
// not read. Never throws, whatever the text is.
std::optional<instance_settings> read_settings(std::string_view text, std::string_view file,
                                               std::vector<diagnostic>& diagnostics);

} // namespace carawayway::config
