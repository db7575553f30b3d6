// Moving averages of observed run times.
#include "carawayway/placement/run_time_estimator.hpp"

#include <algorithm>

namespace carawayway::placement {

namespace {

// Weight of a new sample once there are many; about a quarter of it is left after 25 further samples.
constexpr double minimum_weight = 0.05;

// Run time with a cached object as a share of that without, for a cache state without samples: a cached
// object saves most of the work.
constexpr double assumed_cached_run_time_ratio = 0.4;

base::duration from_seconds(double seconds) {
    return std::chrono::duration_cast<base::duration>(std::chrono::duration<double>(seconds));
}

} // namespace

std::string_view to_text(run_time_basis basis) {
    switch (basis) {
    case run_time_basis::none:
        return "default";
    case run_time_basis::service:
        return "service";
    case run_time_basis::other_cache_state:
        return "other-cache-state";
    case run_time_basis::route:
        break;
    }
    return "route";
}

void run_time_estimator::average::add(double value) {
    ++samples;
    const double weight = std::max(minimum_weight, 1.0 / samples);
    seconds += weight * (value - seconds);
}

void run_time_estimator::observe(const std::string& route, const std::string& service,
                                 object_cache_state cache_state, base::duration run_time) {
    const double seconds = std::max(0.0, base::to_seconds(run_time));
    const auto add = [&](averages_by_cache_state& averages) {
        (cache_state == object_cache_state::cached ? averages.cached : averages.not_cached).add(seconds);
    };
    add(m_by_route[route]);
    add(m_by_service[service]);
    m_service_means[service].add(seconds);
}

void run_time_estimator::replace(const std::string& route, object_cache_state cache_state,
                                 base::duration run_time) {
    auto& averages = m_by_route[route];
    auto& replaced = cache_state == object_cache_state::cached ? averages.cached : averages.not_cached;
    replaced = {};
    replaced.add(std::max(0.0, base::to_seconds(run_time)));
}

base::duration run_time_estimator::expected(const std::string& route, const std::string& service,
                                            object_cache_state cache_state) const {
    const auto estimate = [cache_state](const averages_by_cache_state& averages) -> double {
        const auto& wanted =
            cache_state == object_cache_state::cached ? averages.cached : averages.not_cached;
        const auto& other = cache_state == object_cache_state::cached ? averages.not_cached : averages.cached;
        if (wanted.samples > 0) {
            return wanted.seconds;
        }
        const double ratio = cache_state == object_cache_state::cached ? assumed_cached_run_time_ratio
                                                                       : 1.0 / assumed_cached_run_time_ratio;
        return other.samples > 0 ? other.seconds * ratio : 0.0;
    };
    if (const auto found = m_by_route.find(route); found != m_by_route.end()) {
        return from_seconds(estimate(found->second));
    }
    if (const auto found = m_by_service.find(service); found != m_by_service.end()) {
        return from_seconds(estimate(found->second));
    }
    return default_run_time;
}

run_time_basis run_time_estimator::basis(const std::string& route, const std::string& service,
                                         object_cache_state cache_state) const {
    if (const auto found = m_by_route.find(route); found != m_by_route.end()) {
        const auto& [cached, not_cached] = found->second;
        const auto& wanted = cache_state == object_cache_state::cached ? cached : not_cached;
        return wanted.samples > 0 ? run_time_basis::route : run_time_basis::other_cache_state;
    }
    return m_by_service.contains(service) ? run_time_basis::service : run_time_basis::none;
}

base::duration run_time_estimator::mean_run_time(const std::string& service) const {
    const auto found = m_service_means.find(service);
    return found == m_service_means.end() ? default_run_time : from_seconds(found->second.seconds);
}

} // namespace carawayway::placement
