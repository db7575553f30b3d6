// Whether the store can be trusted about what disappeared from it.
#pragma once

#include "carawayway/base/time.hpp"

#include <algorithm>

namespace carawayway::fleet {

// Entries expire while the store is down, although their owners live, and return once it is back. A
// disappearance counts only when the store has answered without trouble for the settling time.
class store_health {
public:
    // Entries of living servers return within about two seconds; the rest is for the watch.
    static constexpr base::duration settling_time = std::chrono::milliseconds{2300};

    void record_failure(base::time_point now) {
        m_last_trouble = now;
        m_in_contact = false;
    }

    // A gateway that is followed had its last trouble this long ago; contact is kept.
    void record_leader_failure(base::duration time_since_failure, base::time_point now) {
        m_last_trouble = std::max(m_last_trouble, now - time_since_failure);
    }

    // Time since the last trouble; zero while it lasts.
    base::duration time_since_failure(base::time_point now) const {
        return m_in_contact ? now - m_last_trouble : base::duration::zero();
    }

    // Returns true when contact was lost before.
    bool record_success() {
        const bool regained = !m_in_contact;
        m_in_contact = true;
        return regained;
    }

    bool is_reachable() const { return m_in_contact; }

    bool is_settled(base::time_point now) const {
        return m_in_contact && now >= m_last_trouble + settling_time;
    }

private:
    bool m_in_contact = false;
    base::time_point m_last_trouble{}; // of the last call that failed
};

} // namespace carawayway::fleet
