// Checks that a policy is consistent in itself.
#pragma once

#include "carawayway/config/diagnostic.hpp"
#include "carawayway/config/policy.hpp"

#include <string_view>
#include <vector>

namespace carawayway::config {

inline constexpr std::string_view expected_prefix =
    "an IPv4 prefix or an IPv6 prefix up to /64, without bits behind its length";

// Empty when the policy may be put in force. Checks names, references, values and ranges, addresses,
// capacities, client prefixes and that every service that has servers keeps one that may be given work.
// `file` and `line` of the diagnostics are not set. Never throws.
std::vector<diagnostic> validate(const policy& content);

} // namespace carawayway::config
