// Limits that backend servers name for the requests per second that they take from all gateways together, and
// the permits by which gateways share such a limit.
#pragma once

#include "carawayway/base/time.hpp"
#include "carawayway/fleet/registrations.hpp"
#include "carawayway/fleet/store_revision.hpp"
#include "carawayway/placement/gateway_map.hpp"
#include "carawayway/placement/server_state.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace carawayway::placement {

// A limit is divided into permits of equal rate. Each permit is a key in the store under a lease, so that it
// has at most one holder, whatever gateways know of each other; rank and number of known gateways only decide
// who claims first. A gateway without a permit sends nothing to a limited server.
class request_rate_limits {
public:
    // Rate of one permit, at least; fewer gateways hold one of a server with a lower limit.
    static constexpr double minimum_permit_rate = 1.5; // requests per second
    static constexpr std::uint32_t maximum_permits = 16;
    // Requests that can accumulate for each permit. Over 4 s the burst of all permits stays within a third of
    // the limit.
    static constexpr double permit_burst = 2.0;
    // A server that takes nothing gets this much all the same, since only an answer tells that its limit has
    // ended.
    static constexpr double minimum_rate = 0.2; // requests per second
    // Without any permit in the store, a limit counts for this long after it was last named, and up to the
    // spread longer, so that many gateways do not ask the server again at the same time.
    static constexpr base::duration limit_memory = std::chrono::seconds{60};
    static constexpr base::duration limit_memory_spread = std::chrono::seconds{120};
    // Gateways that rank behind the number of permits claim one only if it stays free for this long.
    static constexpr base::duration claim_patience = std::chrono::seconds{1};
    // A gateway that holds a permit of a server claims another one only if it stays free for this long, and
    // for the step more for each further permit that it holds and for each gateway that ranks before it.
    static constexpr base::duration further_claim_patience = std::chrono::seconds{2};
    static constexpr base::duration further_claim_step = std::chrono::milliseconds{250};
    // Gateways of other regions have few requests for a server, and leave its permits to those of its region.
    static constexpr base::duration other_region_patience = std::chrono::seconds{10};
    // Time until a claim of the same permit is repeated.
    static constexpr base::duration claim_retry_delay = std::chrono::seconds{2};
    // When a caller may come back that was refused without a permit: others may serve it at any time.
    static constexpr base::duration unpermitted_retry_after = std::chrono::seconds{1};

    explicit request_rate_limits(std::string own_gateway) : m_own_gateway(std::move(own_gateway)) {}

    static std::uint32_t permit_count(double requests_per_second);

    // Records an answer that names a limit. Returns whether the server was not known to be limited.
    bool record_named(const server_state& server, double requests_per_second, base::time_point now);
    // Records an answer without a limit to a request of this time. Returns whether it ends a limit; the
    // answer to a request that was sent before the limit was named says nothing.
    bool record_unnamed(const std::string& server, base::time_point sent_at);

    // Records that the server is gone, so that its permits are released.
    void remove_server(const std::string& server);
    // Records that the server has started again, so that it has not named a limit yet.
    void start_incarnation(const std::string& server, std::int64_t started_at);

    // Records a permit as the store lists it, or its removal.
    void put(const fleet::request_permit& permit, fleet::store_revision revision, base::time_point now);
    void erase(const std::string& server, std::uint32_t number, fleet::store_revision revision,
               base::time_point now);

    // Whether no server is known to be limited.
    bool empty() const { return m_servers.empty(); }
    bool is_limited(const std::string& server, base::time_point now) const;
    // Whether a request may be sent to the server now.
    bool allows(const std::string& server, base::time_point now);
    // Counts a request that is sent. Returns false if it may not be.
    bool try_acquire(const std::string& server, base::time_point now);
    // Time until a request may be sent to the server; unpermitted_retry_after without a permit.
    base::duration time_until_allowed(const std::string& server, base::time_point now);

    // Sets the lease of this gateway's permits: they count until `valid_until`, and `session` tells them from
    // those of earlier leases of a gateway with this name.
    void set_lease(std::string session, base::time_point valid_until);
    // Gives up all permits of this gateway, without a word to the store.
    void drop_lease() { m_session.clear(); }
    // Whether this gateway holds a permit of a limited server, so that its lease must be renewed.
    bool needs_lease(base::time_point now) const;

    // The permits that this gateway should claim now, at most one of each server.
    std::vector<fleet::permit_claim> due_claims(const gateway_map& gateways, base::time_point now) const;
    // Records that a permit is being claimed, so that it is not due again for claim_retry_delay.
    void defer_claim(const fleet::request_permit& permit, base::time_point now);
    // The permits of servers whose limit has ended, which tell all other gateways of the end.
    std::vector<fleet::permit_release> due_releases() const;
    // Records that the store has taken the release at this revision, or that the permits have changed.
    void finish_release(const fleet::permit_release& release, fleet::store_revision revision,
                        base::time_point now);

    // Forgets servers of which nothing is known any more.
    void forget_expired(base::time_point now);

private:
    struct listed_permit {
        fleet::request_permit permit;
        fleet::store_revision revision;
        bool exists = false; // false: removed from the store
        base::time_point changed_at{};
    };

    struct limited_server {
        std::int64_t started_at = 0; // of the incarnation
        std::string region;
        std::optional<double> requests_per_second; // empty: no limit is in force
        base::time_point limited_since{};
        base::time_point heard_at{};  // from the server or the store
        base::time_point named_at{};  // when this gateway last got an answer that named the limit
        fleet::store_revision latest; // of all its permits
        std::map<std::uint32_t, listed_permit> permits;             // by number
        std::map<std::uint32_t, base::time_point> claim_not_before; // by number
        bool release_is_due = false;
        double tokens = 0.0; // requests that may be sent now
        base::time_point refilled_at{};
    };

    // Ends the limit. Permits of this gateway are to be released.
    void end_limit(limited_server& limited) const;
    static void start_limit(limited_server& limited, double requests_per_second, base::time_point now);
    bool is_own(const limited_server& limited, const listed_permit& item) const;
    bool is_free(const limited_server& limited, std::uint32_t number) const;
    bool is_in_force(const std::string& id, const limited_server& limited, base::time_point now) const;
    base::duration memory_for(const std::string& id) const;
    // Permits of this gateway that count now.
    std::uint32_t held_permits(const limited_server& limited, base::time_point now) const;
    double permitted_rate(const limited_server& limited, base::time_point now) const;
    void refill(limited_server& limited, base::time_point now) const;
    // Numbers of the permits that nobody has held for at least this long, and that are not deferred.
    std::vector<std::uint32_t> permits_free_for(const limited_server& limited, base::duration length,
                                                base::time_point now) const;
    // How long a permit must be free until this gateway claims it. `rank` is that among the gateways of the
    // server's region; nothing if this gateway is of another one.
    base::duration claim_delay(const limited_server& limited, std::optional<std::size_t> rank,
                               base::time_point now) const;
    std::optional<std::uint32_t> permit_to_claim(const std::string& id, const limited_server& limited,
                                                 const gateway_map& gateways, base::time_point now) const;

    std::string m_own_gateway;
    std::string m_session; // empty: no lease
    base::time_point m_lease_valid_until{};
    std::map<std::string, limited_server> m_servers; // by ID
};

} // namespace carawayway::placement
