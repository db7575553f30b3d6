// Compares what gateways on unequal machines can carry.
#pragma once

#include "carawayway/fleet/registrations.hpp"

#include <cstddef>
#include <span>

namespace carawayway::placement {

// Requests per second that a machine can carry, limited by its link or its processor. Meaningful only in
// comparison with other machines, since requests differ. Zero if the capacity is unknown.
double request_capacity(const fleet::machine_capacity& machine);

// Returns how many of the gateways, which are sorted by capacity in descending order, callers that pick one
// of them at random should use: the fewest, at least `minimum`, that together carry half of what any number
// of them could. Callers use all of them alike, so that the smallest one limits what they carry together, and
// small machines are left out where a few large ones carry more without them.
std::size_t gateways_to_use(std::span<const double> capacities, std::size_t minimum);

} // namespace carawayway::placement
