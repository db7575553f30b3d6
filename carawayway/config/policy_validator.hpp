// Checks that a policy is valid and consistent.
#pragma once

#include "carawayway/config/diagnostic.hpp"
#include "carawayway/config/policy.hpp"

#include <string_view>
#include <vector>

namespace carawayway::config {

inline constexpr std::string_view expected_prefix =
    "an IPv4 prefix or an IPv6 prefix up to /64, with no bits set after its length";

// Returns no diagnostics if the policy may be put in force. Checks names, references, values and ranges,
// addresses, capacities, client prefixes, and that every service with servers has at least one that may
// receive requests. Does not set `file` and `line` of the diagnostics. Does not throw.
std::vector<diagnostic> validate(const policy& content);

} // namespace carawayway::config
