// Reads the settings file of a gateway.
#pragma once

#include "carawayway/config/diagnostic.hpp"
#include "carawayway/config/gateway_settings.hpp"

#include <optional>
#include <string_view>
#include <vector>

namespace carawayway::config {

// Returns nothing, and appends at least one diagnostic, if the text is not a complete and consistent settings
// file.
std::optional<gateway_settings> read_gateway_settings(std::string_view text, std::string_view file,
                                                      std::vector<diagnostic>& diagnostics);

} // namespace carawayway::config
