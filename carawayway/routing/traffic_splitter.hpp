// Splits the requests of a route between services by weight and sends the requests of an object to the same
// service.
#pragma once

#include "carawayway/routing/configuration.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace carawayway::routing {

// The hash of the object chooses the target, so that an object stays with one service and its servers. While
// a target is above its share of the requests by more than `maximum_excess_share`, its requests go to the
// target that is furthest below its share. Otherwise a few objects with uneven use would miss the weights.
class traffic_splitter {
public:
    // Share of the recent requests. Operators expect a deviation from the weights below a tenth; each gateway
    // stays well within that.
    static constexpr double maximum_excess_share = 0.02;
    // Number of counted requests at which all counts are halved, so that an old imbalance is forgotten.
    static constexpr double maximum_counted_requests = 300.0;

    // Returns an index into `split_route.targets`. A request that concerns no object may have any
    // `object_hash`.
    std::size_t choose(const route& split_route, std::uint64_t object_hash);

private:
    struct request_counts {
        std::vector<weighted_service> targets; // when they change, the counts start at zero
        std::vector<double> by_target;
        double total = 0.0;
    };

    request_counts& counts_of(const route& split_route);

    std::unordered_map<std::string, request_counts> m_counts_by_route; // by route name
};

} // namespace carawayway::routing
