// Round-trip times to failure domains, as connections to their servers showed them.
#pragma once

#include "carawayway/base/time.hpp"

#include <string>
#include <unordered_map>

namespace carawayway::placement {

class round_trip_estimator {
public:
    // Stands in for a domain to which no connection was opened yet.
    static constexpr base::duration default_near = std::chrono::milliseconds{2};
    static constexpr base::duration default_far = std::chrono::milliseconds{40};

    void observe(const std::string& domain, base::duration round_trip);
    base::duration expected(const std::string& domain, bool same_region) const;

private:
    std::unordered_map<std::string, base::duration> m_by_domain; // the lowest seen: delays only add to it
};

} // namespace carawayway::placement
