// Moving average of the share of late requests for each service.
#include "carawayway/placement/overload_detector.hpp"

#include <algorithm>
#include <cmath>

namespace carawayway::placement {

void overload_detector::record_request(const std::string& service, bool late, base::time_point now) {
    // Requests that are further apart count as if they arrived at this rate, so that a few late ones at low
    // traffic do not count as an overload.
    static constexpr double minimum_requests_per_second = 5.0;
    auto& current = m_services[service];
    const double gap =
        std::min(base::to_seconds(now - current.last_request_at), 1.0 / minimum_requests_per_second);
    current.last_request_at = now;
    const double weight = 1.0 - std::exp(-gap / base::to_seconds(time_constant));
    current.late_share += weight * ((late ? 1.0 : 0.0) - current.late_share);
    current.overloaded =
        current.late_share > (current.overloaded ? overload_end_share : overload_start_share);
}

bool overload_detector::is_overloaded(const std::string& service) const {
    const auto found = m_services.find(service);
    return found != m_services.end() && found->second.overloaded;
}

} // namespace carawayway::placement
