// Adjusts the share of a service's objects that is diverted to other regions.
#include "carawayway/placement/region_spillover.hpp"

#include <optional>

namespace carawayway::placement {

void region_spillover::record_load(const std::string& service, const std::string& region, double load,
                                   base::time_point now) {
    m_services[service].regions[region].add(load, now);
}

void region_spillover::update(state& service, base::time_point now) const {
    const auto home = service.regions.find(m_home_region);
    if (home == service.regions.end() || !home->second.is_current(now)) {
        service.diverted.adjust(0.0, now);
        return;
    }
    // A region that received no requests has reported no load; it may be idle and counts as such.
    std::optional<double> lowest_other_load;
    for (const auto& [region, average] : service.regions) {
        if (region != m_home_region && average.is_current(now)) {
            lowest_other_load =
                lowest_other_load ? std::min(*lowest_other_load, average.load()) : average.load();
        }
    }
    const double load = home->second.load();
    const double other_load = lowest_other_load.value_or(0.0);
    double rate_per_second = 0.0;
    if (load > high_load && load > other_load + minimum_load_difference) {
        rate_per_second = share_rise_per_second;
    } else if (load < low_load || other_load > load + minimum_load_difference) {
        rate_per_second = -share_fall_per_second;
    }
    service.diverted.adjust(rate_per_second, now);
}

void region_spillover::initialize(const std::string& service, const region_proportions& home,
                                  base::time_point now) {
    const auto [known, is_new] = m_services.try_emplace(service);
    if (!is_new || home.caller_share <= 0.0) {
        return;
    }
    known->second.diverted.reset(1.0 - initial_load_limit * home.slot_share / home.caller_share, now);
}

bool region_spillover::is_diverted(const std::string& service, std::uint64_t object, base::time_point now) {
    auto& current = m_services[service];
    update(current, now);
    return current.diverted.contains(object, 0);
}

double region_spillover::share(const std::string& service) const {
    const auto found = m_services.find(service);
    return found == m_services.end() ? 0.0 : found->second.diverted.share();
}

} // namespace carawayway::placement
