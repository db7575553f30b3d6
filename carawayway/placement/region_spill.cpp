// The share of a service's objects that other regions serve.
#include "carawayway/placement/region_spill.hpp"

#include <algorithm>
#include <cmath>

namespace carawayway::placement {

namespace {

// Longer gaps between updates count as this much: the state before them says little.
constexpr double longest_step_seconds = 0.5;

// An average without reports for this long no longer speaks for its region.
constexpr base::duration average_lifetime = std::chrono::seconds{5};

// Another bit pattern than the one that ranks servers, so that both choices are independent.
double position_of(std::uint64_t object) {
    constexpr double hash_range = 18446744073709551616.0; // 2^64
    std::uint64_t value = object * 0xd6e8feb86659fd93ULL;
    value ^= value >> 32U;
    value *= 0xd6e8feb86659fd93ULL;
    value ^= value >> 32U;
    return static_cast<double>(value) / hash_range;
}

} // namespace

void region_spill::reported(const std::string& service, const std::string& region, double load,
                            base::time_point now) {
    auto& known = m_services[service].regions[region];
    const double age = base::to_seconds(now - known.at) / base::to_seconds(averaging_time);
    // Reports come with answers; a busy region sends more of them, which must not shorten its average.
    const double weight = known.at == base::time_point{} ? 1.0 : 1.0 - std::exp(-age);
    known.load += std::clamp(weight, 0.0, 1.0) * (load - known.load);
    known.at = now;
}

void region_spill::update(state& service, base::time_point now) const {
    const double step = std::min(base::to_seconds(now - service.updated), longest_step_seconds);
    service.updated = now;
    const auto home = service.regions.find(m_home);
    if (home == service.regions.end() || now - home->second.at > average_lifetime) {
        return;
    }
    // A region that nothing was sent to has reported nothing and may be idle.
    double least_busy = 0.0;
    bool others_known = false;
    for (const auto& [region, known] : service.regions) {
        if (region != m_home && now - known.at <= average_lifetime) {
            least_busy = others_known ? std::min(least_busy, known.load) : known.load;
            others_known = true;
        }
    }
    const double load = home->second.load;
    if (load > busy && load > least_busy + least_difference) {
        service.share = std::min(most_share, service.share + rise_per_second * step);
    } else if (load < idle || least_busy > load + least_difference) {
        service.share = std::max(0.0, service.share - fall_per_second * step);
    }
}

bool region_spill::moves(const std::string& service, std::uint64_t object, base::time_point now) {
    auto& known = m_services[service];
    update(known, now);
    return position_of(object) < known.share;
}

double region_spill::share(const std::string& service) const {
    const auto found = m_services.find(service);
    return found == m_services.end() ? 0.0 : found->second.share;
}

} // namespace carawayway::placement
