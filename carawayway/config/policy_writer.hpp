// Writes a policy as an INI document.
#pragma once

#include "carawayway/config/policy.hpp"

#include <string>

namespace carawayway::config {

// If the policy is valid, `read_policy` reads the text back to an equal value. Values that equal the default
// are written, too, so that a later change of a default does not change a stored policy.
std::string to_ini(const policy& content);

} // namespace carawayway::config
