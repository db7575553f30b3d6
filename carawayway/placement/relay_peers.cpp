// Orders the other gateways by recent refusals, region and load.
#include "carawayway/placement/relay_peers.hpp"

#include "carawayway/base/hash.hpp"

#include <algorithm>
#include <tuple>

namespace carawayway::placement {

namespace {

bool contains(std::span<const std::string> list, const std::string& item) {
    return std::find(list.begin(), list.end(), item) != list.end();
}

} // namespace

bool relay_peers::may_relay(const fleet::gateway_registration& peer, std::span<const std::string> tried,
                            const routing::region_restriction& regions) const {
    const bool is_allowed_region = peer.region == m_own_locality.region || regions.allows(peer.region);
    return peer.name != m_own_locality.gateway && !peer.relay_address.empty() && is_allowed_region &&
           !contains(tried, peer.name);
}

std::optional<fleet::gateway_registration> relay_peers::choose(std::span<const std::string> tried,
                                                               const routing::region_restriction& regions,
                                                               base::time_point now) {
    const auto rotation = std::to_string(++m_choices);
    const fleet::gateway_registration* best = nullptr;
    std::tuple<bool, bool, std::uint32_t, std::uint64_t> best_order;
    for (const auto& [name, registration] : m_gateways.all()) {
        if (!may_relay(registration, tried, regions)) {
            continue;
        }
        const auto found = m_peers.find(name);
        const auto peer = found == m_peers.end() ? peer_state{} : found->second;
        const bool has_refused = peer.refused_at && now < *peer.refused_at + refusal_memory;
        const std::tuple order{has_refused, registration.region != m_own_locality.region, peer.running,
                               base::rendezvous_rank(rotation, name)};
        if (best == nullptr || order < best_order) {
            best = &registration;
            best_order = order;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(*best);
}

void relay_peers::record_end(const std::string& peer) {
    const auto found = m_peers.find(peer);
    if (found == m_peers.end()) {
        return;
    }
    found->second.running -= found->second.running > 0 ? 1U : 0U;
    if (found->second.running == 0 && !found->second.refused_at) {
        m_peers.erase(found);
    }
}

void relay_peers::record_refusal(const std::string& peer, base::time_point now) {
    std::erase_if(m_peers, [now](const auto& item) {
        const auto& refused_at = item.second.refused_at;
        return item.second.running == 0 && refused_at && *refused_at + refusal_memory <= now;
    });
    m_peers[peer].refused_at = now;
}

} // namespace carawayway::placement
