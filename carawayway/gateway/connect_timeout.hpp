// How long to wait for a connection.
#pragma once

#include "carawayway/base/time.hpp"

#include <algorithm>

namespace carawayway::gateway {

inline base::duration connect_timeout(base::duration round_trip) {
    constexpr base::duration minimum = std::chrono::milliseconds{150};
    constexpr int round_trips = 4; // leaves time for one retransmitted packet
    return std::max<base::duration>(minimum, round_trip * round_trips);
}

} // namespace carawayway::gateway
