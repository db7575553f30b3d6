// Moving share of late requests by service.
#include "carawayway/placement/overload_detector.hpp"

#include <algorithm>
#include <cmath>

namespace carawayway::placement {

void overload_detector::arrived(const std::string& service, bool late, base::time_point now) {
    // Requests further apart count as if they came at this rate, so that a few late ones do not decide.
    static constexpr double smallest_rate = 5.0; // requests a second
    auto& known = m_services[service];
    const double gap = std::min(base::to_seconds(now - known.last), 1.0 / smallest_rate);
    known.last = now;
    const double weight = 1.0 - std::exp(-gap / base::to_seconds(averaging_time));
    known.late_share += weight * ((late ? 1.0 : 0.0) - known.late_share);
    known.overloaded = known.late_share > (known.overloaded ? end_share : begin_share);
}

bool overload_detector::is_overloaded(const std::string& service) const {
    const auto found = m_services.find(service);
    return found != m_services.end() && found->second.overloaded;
}

} // namespace carawayway::placement
