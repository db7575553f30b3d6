// Finds parts of a configuration that have no effect, contradict each other or reject all callers.
#pragma once

#include "carawayway/routing/configuration.hpp"
#include "carawayway/routing/configuration_finding.hpp"
#include "carawayway/routing/deployment_limits.hpp"

namespace carawayway::routing {

// All findings are warnings, in the order services, hosts, limits, accounts.
// FIXME: quotas above what servers can run are not found: how long requests run is not known beforehand.
std::vector<configuration_finding> check_configuration(const configuration& proposed,
                                                       const deployment_limits& deployment);

} // namespace carawayway::routing
