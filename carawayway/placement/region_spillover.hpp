// Moves part of a region's objects to other regions while the region's own servers are too busy.
#pragma once

#include "carawayway/placement/load_average.hpp"
#include "carawayway/placement/moved_share.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace carawayway::placement {

// Answers the load pattern of a region whose callers need more than its servers have, for longer than a queue
// lasts. Waiting until a far server is faster for a single request is too late: the object is not held there,
// so that its first run takes several times as long. The share of objects that move follows the load that
// servers report, slowly, and the hash of an object decides whether it is among them, so that all gateways of
// the region move the same ones.
class region_spillover {
public:
    // Load is requests in progress over slots. Above `busy` a region's share rises, below `idle` it falls
    // back.
    static constexpr double busy = 0.70;
    static constexpr double idle = 0.45;
    // Other regions take more only while they are less busy by this much.
    static constexpr double least_difference = 0.12;
    // Most change of the share in a second: well inside the cap on moves between regions.
    static constexpr double rise_per_second = 0.05;
    static constexpr double fall_per_second = 0.03;

    explicit region_spillover(std::string home) : m_home(std::move(home)) {}

    // A server of the region reported its load as a part of its slots; above 1 requests wait.
    void record_load(const std::string& service, const std::string& region, double load,
                     base::time_point now);

    // A region with few servers begins with a part of its objects elsewhere: all objects are new then, and
    // first runs take several times the work that follows.
    // Load over that of an even spread up to which a region begins with all objects at home.
    static constexpr double begin_load = 1.2;

    // Known before any load is reported: of the region's callers and its slots, as parts of all.
    struct region_size {
        double callers = 0.0;
        double slots = 0.0;

        bool operator==(const region_size&) const = default;
    };

    // Only the first call for a service counts.
    void begin(const std::string& service, const region_size& home, base::time_point now);
    bool has_begun(const std::string& service) const { return m_services.contains(service); }

    // Whether the object is served by another region now.
    bool moves(const std::string& service, std::uint64_t object, base::time_point now);

    // Share of the objects that move, 0..1.
    double share(const std::string& service) const;

private:
    struct state {
        std::map<std::string, load_average> regions;
        moved_share moved;
    };

    void update(state& service, base::time_point now) const;

    std::string m_home;
    std::map<std::string, state> m_services;
};

} // namespace carawayway::placement
