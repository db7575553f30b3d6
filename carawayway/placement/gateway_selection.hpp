// Which gateways a caller is told to use.
#pragma once

#include "carawayway/placement/gateway_map.hpp"

#include <string>
#include <vector>

namespace carawayway::placement {

struct caller_location {
    std::string failure_domain;
    std::string region;
    std::vector<std::string> allowed_regions; // of the service; empty: all

    bool operator==(const caller_location&) const = default;
};

// Addresses for callers, which pick one at random: the gateways of the caller's domain, with those of its
// region when the domain has too few to survive the loss of one, and others only when the region has none.
std::vector<std::string> choose_gateways(const gateway_map& gateways, const caller_location& caller);

} // namespace carawayway::placement
