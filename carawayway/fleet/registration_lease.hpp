// The lease under which a gateway is registered in the store.
#pragma once

#include "carawayway/base/time.hpp"

namespace carawayway::fleet {

struct registration_lease {
    base::duration lifetime{};
    base::duration renew_interval{};

    bool operator==(const registration_lease&) const = default;
};

// Look-ups may name a gateway that has ended for `contact_time` and this much longer.
inline constexpr base::duration ended_gateway_margin = std::chrono::seconds{3};
// From the end of a lease until all gateways know: the store, the batching of changes, the leader.
inline constexpr base::duration removal_propagation = std::chrono::milliseconds{1500};

// The longest lease with which an ended gateway is no longer named in time, and `shortest` at least. A
// renewal that gets no answer can be repeated before the lease ends.
constexpr registration_lease lease_for(base::duration contact_time, base::duration shortest) {
    const auto longest = contact_time + ended_gateway_margin - removal_propagation;
    const auto lifetime = longest > shortest ? longest : shortest;
    return {lifetime, lifetime * 2 / 5};
}

} // namespace carawayway::fleet
