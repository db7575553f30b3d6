// Divides the requests of a route between services by weight, and keeps the requests of an object together.
#pragma once

#include "carawayway/routing/configuration.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace carawayway::routing {

// The parts of a split receive their weight's share of the requests. The hash of the object decides, so that
// an object stays with one service and its servers; while a part is ahead of its share by more than
// `tolerated_excess`, its requests go to the part that lags most. Few objects with uneven use would miss the
// weights otherwise.
class traffic_splitter {
public:
    // Share of the recent requests. Operators expect the weights within a tenth; each gateway keeps well
    // inside.
    static constexpr double tolerated_excess = 0.02;
    // Requests that are remembered for the balance, so that an old imbalance is not paid back for ever.
    static constexpr double remembered_requests = 300.0;

    // Index into `item.targets`. `object_hash` is any value for requests that concern no object.
    std::size_t choose(const route& item, std::uint64_t object_hash);

private:
    struct balance {
        std::vector<weighted_service> targets; // a change of the weights starts a new balance
        std::vector<double> counts;
        double total = 0.0;
    };

    balance& balance_of(const route& item);

    std::unordered_map<std::string, balance> m_balances; // by route name
};

} // namespace carawayway::routing
