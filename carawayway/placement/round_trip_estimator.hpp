// Estimates the round-trip time to a failure domain from the time that connecting to its servers took.
#pragma once

#include "carawayway/base/time.hpp"

#include <string>
#include <unordered_map>

namespace carawayway::placement {

class round_trip_estimator {
public:
    // Used for a failure domain to which no connection was opened yet.
    static constexpr base::duration default_same_region = std::chrono::milliseconds{2};
    static constexpr base::duration default_other_region = std::chrono::milliseconds{40};

    void observe(const std::string& domain, base::duration round_trip);
    base::duration expected(const std::string& domain, bool same_region) const;

private:
    // The lowest observed value, since delays only add to the round trip.
    std::unordered_map<std::string, base::duration> m_lowest_by_domain;
};

} // namespace carawayway::placement
