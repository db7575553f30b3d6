// Diverts part of a region's objects to other regions while the region's own servers are overloaded.
#pragma once

#include "carawayway/placement/diverted_share.hpp"
#include "carawayway/placement/load_average.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace carawayway::placement {

// Handles a region whose callers need more than its servers can run for longer than a short queue lasts.
// Diverting a request only once a server of another region would answer earlier is too late: the object is
// not cached there, so its first run takes several times as long. Instead, the diverted share of objects
// slowly follows the load that servers report. Objects are chosen by their hash, so that all gateways of the
// region divert the same ones.
class region_spillover {
public:
    // Load is requests in progress divided by slots. The diverted share rises while the load of the home
    // region is above `high_load` and falls while it is below `low_load`. In a steady state the share stays
    // as it is between the two; the wider the gap, the more objects regions with room go on diverting to each
    // other.
    static constexpr double high_load = 0.70;
    static constexpr double low_load = 0.62;
    // Other regions take more only while their load is lower by more than this; the share falls while it is
    // higher by more than this.
    static constexpr double minimum_load_difference = 0.12;
    // Rates of change of the share, well within the cap on shifts between regions.
    static constexpr double share_rise_per_second = 0.05;
    static constexpr double share_fall_per_second = 0.03;

    explicit region_spillover(std::string home_region) : m_home_region(std::move(home_region)) {}

    // Records the load that a server of the region reported.
    void record_load(const std::string& service, const std::string& region, double load,
                     base::time_point now);

    // Load relative to that of an even spread, up to which a region starts without diverted objects. Above
    // it, the region starts with a part of its objects diverted, since no object is cached yet and first runs
    // take several times as long as later ones.
    static constexpr double initial_load_limit = 1.2;

    // The region's parts of all callers and of all slots, which are known before any load is reported.
    struct region_proportions {
        double caller_share = 0.0;
        double slot_share = 0.0;

        bool operator==(const region_proportions&) const = default;
    };

    // Sets the diverted share that a service starts with. Only the first call for a service has an effect.
    void initialize(const std::string& service, const region_proportions& home, base::time_point now);
    bool is_initialized(const std::string& service) const { return m_services.contains(service); }

    // Whether the object is to be served by another region now.
    bool is_diverted(const std::string& service, std::uint64_t object, base::time_point now);

    // Diverted share of the objects, 0..1.
    double share(const std::string& service) const;

private:
    struct state {
        std::map<std::string, load_average> regions;
        diverted_share diverted;
    };

    void update(state& service, base::time_point now) const;

    std::string m_home_region;
    std::map<std::string, state> m_services;
};

} // namespace carawayway::placement
