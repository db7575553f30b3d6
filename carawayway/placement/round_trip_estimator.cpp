// Keeps the lowest observed round-trip time to each failure domain.
#include "carawayway/placement/round_trip_estimator.hpp"

#include <algorithm>

namespace carawayway::placement {

void round_trip_estimator::observe(const std::string& domain, base::duration round_trip) {
    const auto [known, inserted] = m_lowest_by_domain.emplace(domain, round_trip);
    if (!inserted) {
        known->second = std::min(known->second, round_trip);
    }
}

base::duration round_trip_estimator::expected(const std::string& domain, bool same_region) const {
    const auto found = m_lowest_by_domain.find(domain);
    if (found != m_lowest_by_domain.end()) {
        return found->second;
    }
    return same_region ? default_same_region : default_other_region;
}

} // namespace carawayway::placement
