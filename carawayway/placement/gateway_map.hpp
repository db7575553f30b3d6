// Tracks which gateways run where, so that each one derives its part of shared limits without messages.
#pragma once

#include "carawayway/fleet/registrations.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
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

    // A gateway whose registration disappears may be running, cut off from the store. It counts for shared
    // limits and gets notices for this much longer.
    static constexpr base::duration departed_memory = std::chrono::minutes{5};

    void put(const fleet::gateway_registration& registration, base::time_point now);
    void erase(const std::string& name, base::time_point now);
    // Records that the store has removed the registration of this gateway. It stays in all(), because it goes
    // on serving callers.
    void record_own_removal() {
        m_is_registered = false;
        ++m_changes;
    }

    // Rises with each change, but not when a departed gateway is forgotten.
    std::uint64_t changes() const { return m_changes; }

    // Whether the store lists this gateway, as far as it knows.
    bool is_registered() const { return m_is_registered; }

    const std::map<std::string, fleet::gateway_registration>& all() const { return m_gateways; }

    // All known gateways and those that have departed within `departed_memory`, without this gateway.
    std::vector<fleet::gateway_registration> others_that_may_run(base::time_point now) const;

    // When the store first listed this gateway; nothing before that.
    std::optional<base::time_point> first_registered_at() const { return m_first_registered_at; }

    // Number of known gateways including this one, so at least 1.
    std::size_t count() const;

    // The gateway of this failure domain that watches the store for the others: the one with the highest
    // rendezvous rank. Empty when that is this gateway, or when no gateway is known.
    std::optional<fleet::gateway_registration> leader_of_own_domain() const;

    // Selects up to `maximum_senders` gateways for a cold server by rendezvous rank among the gateways of its
    // region that may run, or among all of them when the region has none. At most `maximum_senders` gateways
    // regard themselves as senders, as long as each one remembers all that run. A gateway that has lost its
    // registration is no sender, since the others may have replaced it.
    cold_sender_subset cold_senders_of(const std::string& server, const std::string& region,
                                       std::size_t maximum_senders, base::time_point now) const;

    // Number of gateways of this region that may run and have a higher rendezvous rank for the key than this
    // one. Nothing if this gateway is of another region that has gateways.
    std::optional<std::size_t> own_rank_for(const std::string& key, const std::string& region,
                                            base::time_point now) const;

private:
    struct departed_gateway {
        fleet::gateway_registration registration;
        base::time_point forgotten_at;
    };

    struct candidates {
        std::size_t others = 0;
        std::size_t higher_ranked = 0; // than this gateway
    };

    // The other gateways of the region, or of all regions without one, that may run.
    candidates count_candidates(const std::string& key, std::optional<std::string_view> region,
                                base::time_point now) const;

    // Calls visit(registration) for each of others_that_may_run().
    template <class Visitor>
    void visit_others(base::time_point now, Visitor&& visit) const {
        for (const auto& [name, registration] : m_gateways) {
            if (name != m_own_locality.gateway) {
                visit(registration);
            }
        }
        for (const auto& [name, departed] : m_departed) {
            if (now < departed.forgotten_at) {
                visit(departed.registration);
            }
        }
    }

    locality m_own_locality;
    std::map<std::string, fleet::gateway_registration> m_gateways;
    std::map<std::string, departed_gateway> m_departed; // none of m_gateways
    std::uint64_t m_changes = 0;
    bool m_is_registered = false; // in the store, as far as this gateway knows
    std::optional<base::time_point> m_first_registered_at;
};

} // namespace carawayway::placement
