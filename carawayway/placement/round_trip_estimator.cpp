// Lowest observed round trips.
#include "carawayway/placement/round_trip_estimator.hpp"

#include <algorithm>

namespace carawayway::placement {

void round_trip_estimator::observe(const std::string& domain, base::duration round_trip) {
    const auto [entry, inserted] = m_by_domain.emplace(domain, round_trip);
    if (!inserted) {
        entry->second = std::min(entry->second, round_trip);
    }
}

base::duration round_trip_estimator::expected(const std::string& domain, bool same_region) const {
    const auto found = m_by_domain.find(domain);
    if (found != m_by_domain.end()) {
        return found->second;
    }
    return same_region ? default_near : default_far;
}

} // namespace carawayway::placement
