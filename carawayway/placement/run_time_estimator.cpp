// Moving averages of run times.
#include "carawayway/placement/run_time_estimator.hpp"

#include <algorithm>

namespace carawayway::placement {

namespace {

// Weight of a new sample once there are more; a quarter of it is left after about 25 samples.
constexpr double smallest_weight = 0.05;

// A server that holds the object saves most of the work; used for the state that was not observed yet.
constexpr double assumed_held_share = 0.4;

base::duration from_seconds(double seconds) {
    return std::chrono::duration_cast<base::duration>(std::chrono::duration<double>(seconds));
}

} // namespace

void run_time_estimator::average::add(double value) {
    ++samples;
    const double weight = std::max(smallest_weight, 1.0 / samples);
    seconds += weight * (value - seconds);
}

void run_time_estimator::observe(const std::string& route, const std::string& service,
                                 object_cache_state warmth, base::duration run_time) {
    const double seconds = std::max(0.0, base::to_seconds(run_time));
    const auto add = [&](by_warmth& averages) {
        (warmth == object_cache_state::cached ? averages.held : averages.not_held).add(seconds);
    };
    add(m_routes[route]);
    add(m_services[service]);
    m_means[service].add(seconds);
}

base::duration run_time_estimator::expected(const std::string& route, const std::string& service,
                                            object_cache_state warmth) const {
    const auto estimate = [warmth](const by_warmth& averages) -> double {
        const auto& wanted = warmth == object_cache_state::cached ? averages.held : averages.not_held;
        const auto& other = warmth == object_cache_state::cached ? averages.not_held : averages.held;
        if (wanted.samples > 0) {
            return wanted.seconds;
        }
        const double ratio =
            warmth == object_cache_state::cached ? assumed_held_share : 1.0 / assumed_held_share;
        return other.samples > 0 ? other.seconds * ratio : 0.0;
    };
    if (const auto found = m_routes.find(route); found != m_routes.end()) {
        return from_seconds(estimate(found->second));
    }
    if (const auto found = m_services.find(service); found != m_services.end()) {
        return from_seconds(estimate(found->second));
    }
    return default_run_time;
}

base::duration run_time_estimator::mean_of_service(const std::string& service) const {
    const auto found = m_means.find(service);
    return found == m_means.end() ? default_run_time : from_seconds(found->second.seconds);
}

} // namespace carawayway::placement
