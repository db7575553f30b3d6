// Finds what changes when a configuration replaces the one in force.
#pragma once

#include "carawayway/routing/configuration.hpp"
#include "carawayway/routing/configuration_finding.hpp"

namespace carawayway::routing {

// An error if gateways would ignore the proposed configuration, warnings for callers that would be rejected
// from then on, and notes for other changes. Of entries with the same name, only the first is compared.
std::vector<configuration_finding> find_differences(const configuration& in_force,
                                                    const configuration& proposed);

} // namespace carawayway::routing
