// Selects the leader of a failure domain and the senders to a cold server by rendezvous hashing.
#include "carawayway/placement/gateway_map.hpp"

#include "carawayway/base/hash.hpp"

#include <algorithm>

namespace carawayway::placement {

std::string locality::region_of(const std::string& domain) const {
    const auto found = region_of_domain.find(domain);
    return found == region_of_domain.end() ? std::string{} : found->second;
}

void gateway_map::put(const fleet::gateway_registration& registration) {
    m_gateways[registration.name] = registration;
}

void gateway_map::erase(const std::string& name) {
    m_gateways.erase(name);
}

std::size_t gateway_map::count() const {
    return m_gateways.size() + (m_gateways.contains(m_own_locality.gateway) ? 0 : 1);
}

std::optional<fleet::gateway_registration> gateway_map::leader_of_own_domain() const {
    const auto rank = [this](const std::string& name) {
        return base::rendezvous_rank(m_own_locality.failure_domain, name);
    };
    const fleet::gateway_registration* leader = nullptr;
    for (const auto& [name, registration] : m_gateways) {
        const bool same_domain = registration.failure_domain == m_own_locality.failure_domain;
        if (same_domain && (leader == nullptr || rank(name) > rank(leader->name))) {
            leader = &registration;
        }
    }
    if (leader == nullptr || rank(leader->name) <= rank(m_own_locality.gateway)) {
        return std::nullopt;
    }
    return *leader;
}

cold_sender_subset gateway_map::cold_senders_of(const std::string& server, const std::string& region,
                                                std::size_t maximum_senders) const {
    std::vector<std::string> names;
    for (const auto& [name, registration] : m_gateways) {
        if (registration.region == region) {
            names.push_back(name);
        }
    }
    if (names.empty()) {
        for (const auto& [name, registration] : m_gateways) {
            names.push_back(name);
        }
    }
    const auto sender_count = std::max<std::size_t>(1, std::min(maximum_senders, names.size()));
    const auto own_rank = base::rendezvous_rank(server, m_own_locality.gateway);
    const auto higher_ranked = std::count_if(names.begin(), names.end(), [&](const std::string& name) {
        return name != m_own_locality.gateway && base::rendezvous_rank(server, name) > own_rank;
    });
    const bool is_candidate = std::find(names.begin(), names.end(), m_own_locality.gateway) != names.end();
    return {is_candidate && static_cast<std::size_t>(higher_ranked) < sender_count, sender_count};
}

} // namespace carawayway::placement
