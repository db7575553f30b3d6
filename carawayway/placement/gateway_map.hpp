// Which gateways run where, for limits that all gateways share without messages.
#pragma once

#include "carawayway/fleet/registrations.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace carawayway::placement {

// Where this gateway runs and which region each failure domain belongs to.
struct locality {
    std::string gateway;
    std::string failure_domain;
    std::string region;
    std::map<std::string, std::string> region_of_domain;

    // Empty for a domain that the settings do not name.
    std::string region_of(const std::string& domain) const;

    bool operator==(const locality&) const = default;
};

// One of `feeders` gateways that may send to a cold server; the others send nothing.
struct feeder_share {
    bool is_feeder = false;
    std::size_t feeders = 1;

    bool operator==(const feeder_share&) const = default;
};

class gateway_map {
public:
    explicit gateway_map(locality own) : m_own(std::move(own)) {}

    void put(const fleet::gateway_registration& facts);
    void erase(const std::string& name);

    const std::map<std::string, fleet::gateway_registration>& all() const { return m_gateways; }

    // Gateways that exist, this one included; at least 1.
    std::size_t count() const;

    // The gateway of this failure domain that watches the store for the others: the first by rendezvous rank.
    // Nothing when it is this gateway, or none is known.
    std::optional<fleet::gateway_registration> leader_of_own_domain() const;

    // Picks at most `most` feeders for a server by rendezvous rank among the gateways of its region, or among
    // all when the region has none. All gateways with the same list pick the same feeders.
    feeder_share feeders_of(const std::string& server, const std::string& region, std::size_t most) const;

private:
    locality m_own;
    std::map<std::string, fleet::gateway_registration> m_gateways;
};

} // namespace carawayway::placement
