// Chooses the gateways through which requests go while this gateway is partitioned from the servers.
#pragma once

#include "carawayway/placement/gateway_map.hpp"
#include "carawayway/routing/region_restriction.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace carawayway::placement {

class relay_peers {
public:
    // A gateway that has refused a request, or could not be reached, comes after all others for this long.
    static constexpr base::duration refusal_memory = std::chrono::seconds{1};

    // The gateway map must outlive this object.
    relay_peers(const gateway_map& gateways, locality own)
        : m_gateways(gateways), m_own_locality(std::move(own)) {}

    // The best gateway for a request that may be served in these regions and that the gateways in `tried`
    // have not taken. Gateways of the own region come first, and of these the one that carries the fewest
    // requests of this gateway, so that the others share its load. Nothing if no gateway takes requests.
    std::optional<fleet::gateway_registration> choose(std::span<const std::string> tried,
                                                      const routing::region_restriction& regions,
                                                      base::time_point now);

    void record_start(const std::string& peer) { ++m_peers[peer].running; }
    void record_end(const std::string& peer);
    // Records a gateway that did not take a request.
    void record_refusal(const std::string& peer, base::time_point now);

private:
    struct peer_state {
        std::uint32_t running = 0; // requests of this gateway
        std::optional<base::time_point> refused_at;
    };

    bool may_relay(const fleet::gateway_registration& peer, std::span<const std::string> tried,
                   const routing::region_restriction& regions) const;

    const gateway_map& m_gateways;
    locality m_own_locality;
    std::map<std::string, peer_state> m_peers; // by name; those of which anything is known
    std::uint64_t m_choices = 0;               // rotates among equal gateways
};

} // namespace carawayway::placement
