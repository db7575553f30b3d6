// The list of gateways and the choice of feeders.
#include "carawayway/placement/gateway_map.hpp"

#include "carawayway/base/hash.hpp"

#include <algorithm>

namespace carawayway::placement {

std::string locality::region_of(const std::string& domain) const {
    const auto found = region_of_domain.find(domain);
    return found == region_of_domain.end() ? std::string{} : found->second;
}

void gateway_map::put(const fleet::gateway_registration& facts) {
    m_gateways[facts.name] = facts;
}

void gateway_map::erase(const std::string& name) {
    m_gateways.erase(name);
}

std::size_t gateway_map::count() const {
    return m_gateways.size() + (m_gateways.contains(m_own.gateway) ? 0 : 1);
}

std::optional<fleet::gateway_registration> gateway_map::leader_of_own_domain() const {
    const auto rank = [this](const std::string& name) {
        return base::rendezvous_rank(m_own.failure_domain, name);
    };
    const fleet::gateway_registration* leader = nullptr;
    for (const auto& [name, facts] : m_gateways) {
        const bool same_domain = facts.failure_domain == m_own.failure_domain;
        if (same_domain && (leader == nullptr || rank(name) > rank(leader->name))) {
            leader = &facts;
        }
    }
    if (leader == nullptr || rank(leader->name) <= rank(m_own.gateway)) {
        return std::nullopt;
    }
    return *leader;
}

feeder_share gateway_map::feeders_of(const std::string& server, const std::string& region,
                                     std::size_t most) const {
    std::vector<std::string> names;
    for (const auto& [name, facts] : m_gateways) {
        if (facts.region == region) {
            names.push_back(name);
        }
    }
    if (names.empty()) {
        for (const auto& [name, facts] : m_gateways) {
            names.push_back(name);
        }
    }
    const auto feeders = std::max<std::size_t>(1, std::min(most, names.size()));
    const auto own_rank = base::rendezvous_rank(server, m_own.gateway);
    const auto better = std::count_if(names.begin(), names.end(), [&](const std::string& name) {
        return name != m_own.gateway && base::rendezvous_rank(server, name) > own_rank;
    });
    const bool listed = std::find(names.begin(), names.end(), m_own.gateway) != names.end();
    return {listed && static_cast<std::size_t>(better) < feeders, feeders};
}

} // namespace carawayway::placement
