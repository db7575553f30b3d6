// Selects the gateways that a look-up returns to a caller.
#pragma once

#include "carawayway/placement/gateway_map.hpp"

#include <string>
#include <vector>

namespace carawayway::placement {

struct caller_location {
    std::string failure_domain;
    std::string region;
    std::vector<std::string> allowed_regions; // for the requested host; empty: all

    bool operator==(const caller_location&) const = default;
};

// Returns addresses of gateways, of which the caller picks one at random: those in the caller's failure
// domain, those in its region as well when the domain has fewer than two, and those in other allowed regions
// only when its region has none.
std::vector<std::string> choose_gateways(const gateway_map& gateways, const caller_location& caller);

// Returns how many gateways the callers of all failure domains together are told to use.
std::size_t count_chosen_gateways(const gateway_map& gateways);

} // namespace carawayway::placement
