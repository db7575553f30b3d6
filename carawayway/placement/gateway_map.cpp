// Selects the leader of a failure domain and the senders to a cold server by rendezvous hashing.
#include "carawayway/placement/gateway_map.hpp"

#include "carawayway/base/hash.hpp"

#include <algorithm>

namespace carawayway::placement {

std::string locality::region_of(const std::string& domain) const {
    const auto found = region_of_domain.find(domain);
    return found == region_of_domain.end() ? std::string{} : found->second;
}

void gateway_map::put(const fleet::gateway_registration& registration, base::time_point now) {
    ++m_changes;
    m_gateways[registration.name] = registration;
    m_departed.erase(registration.name);
    if (registration.name == m_own_locality.gateway) {
        m_is_registered = true;
        m_first_registered_at = m_first_registered_at.value_or(now);
    }
}

void gateway_map::erase(const std::string& name, base::time_point now) {
    ++m_changes;
    std::erase_if(m_departed, [now](const auto& item) { return item.second.forgotten_at <= now; });
    const auto found = m_gateways.find(name);
    if (found == m_gateways.end()) {
        return;
    }
    if (name == m_own_locality.gateway) {
        record_own_removal();
    } else {
        m_departed[name] = {std::move(found->second), now + departed_memory};
    }
    m_gateways.erase(found);
}

std::vector<fleet::gateway_registration> gateway_map::others_that_may_run(base::time_point now) const {
    std::vector<fleet::gateway_registration> others;
    visit_others(now, [&others](const auto& other) { others.push_back(other); });
    return others;
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
                                                std::size_t maximum_senders, base::time_point now) const {
    const auto in_region = count_candidates(server, region, now);
    const bool is_own_region = m_is_registered && m_own_locality.region == region;
    const bool region_has_gateways = is_own_region || in_region.others > 0;
    const bool is_candidate = m_is_registered && (is_own_region || !region_has_gateways);
    const auto counted = region_has_gateways ? in_region : count_candidates(server, std::nullopt, now);
    const auto sender_count =
        std::max<std::size_t>(1, std::min(maximum_senders, counted.others + (is_candidate ? 1 : 0)));
    return {is_candidate && counted.higher_ranked < sender_count, sender_count};
}

std::optional<std::size_t> gateway_map::own_rank_for(const std::string& key, const std::string& region,
                                                     base::time_point now) const {
    const auto in_region = count_candidates(key, region, now);
    if (m_own_locality.region == region) {
        return in_region.higher_ranked;
    }
    if (in_region.others > 0) {
        return std::nullopt;
    }
    return count_candidates(key, std::nullopt, now).higher_ranked;
}

gateway_map::candidates gateway_map::count_candidates(const std::string& key,
                                                      std::optional<std::string_view> region,
                                                      base::time_point now) const {
    const auto own_rank = base::rendezvous_rank(key, m_own_locality.gateway);
    candidates counted;
    visit_others(now, [&](const fleet::gateway_registration& other) {
        if (!region || other.region == *region) {
            ++counted.others;
            counted.higher_ranked += base::rendezvous_rank(key, other.name) > own_rank ? 1 : 0;
        }
    });
    return counted;
}

} // namespace carawayway::placement
