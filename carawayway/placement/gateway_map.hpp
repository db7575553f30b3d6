// Tracks which gateways run where, so that each one derives its part of shared limits without messages.
#pragma once

#include "carawayway/fleet/registrations.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace carawayway::placement {

// Where this gateway runs, and the region of each failure domain.
struct locality {
    std::string gateway;
    std::string failure_domain;
    std::string region;
    std::map<std::string, std::string> region_of_domain;

    // Empty for a failure domain that the settings do not name.
    std::string region_of(const std::string& domain) const;

    bool operator==(const locality&) const = default;
};

// The subset of gateways that may send requests to a cold server.
struct cold_sender_subset {
    bool is_sender = false;       // whether this gateway is in the subset
    std::size_t sender_count = 1; // size of the subset, at least 1

    bool operator==(const cold_sender_subset&) const = default;
};

class gateway_map {
public:
    explicit gateway_map(locality own) : m_own_locality(std::move(own)) {}

    void put(const fleet::gateway_registration& registration);
    void erase(const std::string& name);

    const std::map<std::string, fleet::gateway_registration>& all() const { return m_gateways; }

    // Number of known gateways including this one, so at least 1.
    std::size_t count() const;

    // The gateway of this failure domain that watches the store for the others: the one with the highest
    // rendezvous rank. Empty when that is this gateway, or when no gateway is known.
    std::optional<fleet::gateway_registration> leader_of_own_domain() const;

    // Selects up to `maximum_senders` gateways for a cold server by rendezvous rank among the gateways of its
    // region, or among all gateways when the region has none. Gateways that know the same list select the
    // same senders.
    cold_sender_subset cold_senders_of(const std::string& server, const std::string& region,
                                       std::size_t maximum_senders) const;

private:
    locality m_own_locality;
    std::map<std::string, fleet::gateway_registration> m_gateways;
};

} // namespace carawayway::placement
