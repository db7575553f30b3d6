// Tells whether keys that disappeared from the store were really removed.
#pragma once

#include "carawayway/base/time.hpp"

#include <algorithm>

namespace carawayway::fleet {

// While the store is down, the leases of running servers and gateways expire; their registrations return once
// it is back. A disappeared key counts as removed only when no call to the store has failed for the settling
// time.
class store_health {
public:
    // Running servers register again within about two seconds; the rest is for the delay of the watch.
    static constexpr base::duration settling_time = std::chrono::milliseconds{2300};

    void record_failure(base::time_point now) {
        m_last_failure_at = now;
        m_reachable = false;
    }

    // Takes over the last failure of the gateway that this one follows. The store still counts as reachable.
    void record_leader_failure(base::duration time_since_failure, base::time_point now) {
        m_last_failure_at = std::max(m_last_failure_at, now - time_since_failure);
    }

    // The store was restored from an older copy. It counts as unsettled until keys that were lost can have
    // been written again.
    void record_restore(base::time_point now) { m_last_failure_at = std::max(m_last_failure_at, now); }

    // Time since the last failed call; zero while the store is unreachable.
    base::duration time_since_failure(base::time_point now) const {
        return m_reachable ? now - m_last_failure_at : base::duration::zero();
    }

    // Returns true when the store was unreachable before.
    bool record_success() {
        const bool was_unreachable = !m_reachable;
        m_reachable = true;
        return was_unreachable;
    }

    bool is_reachable() const { return m_reachable; }

    bool is_settled(base::time_point now) const {
        return m_reachable && now >= m_last_failure_at + settling_time;
    }

private:
    bool m_reachable = false;
    base::time_point m_last_failure_at{};
};

} // namespace carawayway::fleet
