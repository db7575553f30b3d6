// Reads a policy document.
#pragma once

#include "carawayway/config/diagnostic.hpp"
#include "carawayway/config/policy.hpp"

#include <optional>
#include <string_view>
#include <vector>

namespace carawayway::config {

// Checks structure, types and ranges; references between sections are checked by `validate`. Returns nothing
// exactly when it appended to `diagnostics`. Never throws, whatever the text is.
std::optional<policy> read_policy(std::string_view text, std::string_view file,
                                  std::vector<diagnostic>& diagnostics);

// Reads and validates: the policy that may be put in force.
std::optional<policy> read_valid_policy(std::string_view text, std::string_view file,
                                        std::vector<diagnostic>& diagnostics);

} // namespace carawayway::config
