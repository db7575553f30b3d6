// Reads a policy from an INI document.
#pragma once

#include "carawayway/config/diagnostic.hpp"
#include "carawayway/config/policy.hpp"

#include <optional>
#include <string_view>
#include <vector>

namespace carawayway::config {

// Checks structure, types and ranges; `validate` checks references between sections. Returns nothing if and
// only if it appended diagnostics. Does not throw for any text.
std::optional<policy> read_policy(std::string_view text, std::string_view file,
                                  std::vector<diagnostic>& diagnostics);

// Reads and validates a policy. The result may be put in force.
std::optional<policy> read_valid_policy(std::string_view text, std::string_view file,
                                        std::vector<diagnostic>& diagnostics);

} // namespace carawayway::config
