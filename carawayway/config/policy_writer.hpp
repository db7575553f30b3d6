// Writes a policy as an INI document.
#pragma once

#include "carawayway/config/policy.hpp"

#include <string>

namespace carawayway::config {

// read_policy reads the text back to an equal value when `validate` accepts the policy. All values are
// written, also those that equal the default, so that a later change of a default does not change a stored
// policy.
std::string to_ini(const policy& content);

} // namespace carawayway::config
