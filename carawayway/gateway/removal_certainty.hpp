// Whether a removed registration means that its owner is gone.
#pragma once

#include <cstdint>

namespace carawayway::gateway {

// `confirmed`: the owner of the removed registration has left. `unconfirmed`: the lease may have expired
// during a store outage while the owner still runs.
enum class removal_certainty : std::uint8_t { confirmed, unconfirmed };

} // namespace carawayway::gateway
