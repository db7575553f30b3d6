// The share of a service's objects that other regions serve.
#include "carawayway/placement/region_spillover.hpp"

#include <optional>

namespace carawayway::placement {

void region_spillover::record_load(const std::string& service, const std::string& region, double load,
                                   base::time_point now) {
    m_services[service].regions[region].add(load, now);
}

void region_spillover::update(state& service, base::time_point now) const {
    const auto home = service.regions.find(m_home);
    if (home == service.regions.end() || !home->second.is_current(now)) {
        service.moved.change(0.0, now);
        return;
    }
    // A region that nothing was sent to has reported nothing and may be idle.
    std::optional<double> least_busy;
    for (const auto& [region, average] : service.regions) {
        if (region != m_home && average.is_current(now)) {
            least_busy = least_busy ? std::min(*least_busy, average.load()) : average.load();
        }
    }
    const double load = home->second.load();
    const double other_load = least_busy.value_or(0.0);
    double direction = 0.0;
    if (load > busy && load > other_load + least_difference) {
        direction = rise_per_second;
    } else if (load < idle || other_load > load + least_difference) {
        direction = -fall_per_second;
    }
    service.moved.change(direction, now);
}

void region_spillover::begin(const std::string& service, const region_size& home, base::time_point now) {
    const auto [known, is_new] = m_services.try_emplace(service);
    if (!is_new || home.callers <= 0.0) {
        return;
    }
    known->second.moved.begin(1.0 - begin_load * home.slots / home.callers, now);
}

bool region_spillover::moves(const std::string& service, std::uint64_t object, base::time_point now) {
    auto& known = m_services[service];
    update(known, now);
    return known.moved.contains(object, 0);
}

double region_spillover::share(const std::string& service) const {
    const auto found = m_services.find(service);
    return found == m_services.end() ? 0.0 : found->second.moved.share();
}

} // namespace carawayway::placement
