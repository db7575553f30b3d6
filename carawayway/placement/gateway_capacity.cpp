// Models a group of gateways among which callers choose at random.
#include "carawayway/placement/gateway_capacity.hpp"

#include <algorithm>

namespace carawayway::placement {

namespace {

// Mean of a request and its response, including headers and what is sent to and received from the server.
constexpr double typical_request_megabits = 0.2;
constexpr double typical_request_core_seconds = 0.0005;
// The remainder is for bursts, and for gateways that fail before callers have noticed.
constexpr double used_part = 0.5;

double group_capacity(std::span<const double> capacities, std::size_t size) {
    return static_cast<double>(size) * capacities[size - 1];
}

} // namespace

double request_capacity(const fleet::machine_capacity& machine) {
    return std::min(machine.link_megabits / typical_request_megabits,
                    machine.processor_share / typical_request_core_seconds);
}

std::size_t gateways_to_use(std::span<const double> capacities, std::size_t minimum) {
    double largest = 0.0;
    for (std::size_t size = 1; size <= capacities.size(); ++size) {
        largest = std::max(largest, group_capacity(capacities, size));
    }
    std::size_t size = std::min(minimum, capacities.size());
    while (size < capacities.size() && group_capacity(capacities, size) < largest * used_part) {
        ++size;
    }
    return size;
}

} // namespace carawayway::placement
