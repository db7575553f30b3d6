// Part of server_ownership: balances servers between entry instances by releasing them, and decides which
// server is claimed when.
#include "carawayway/base/hash.hpp"
#include "carawayway/membership/claim_states.hpp"
#include "carawayway/membership/server_ownership.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace carawayway::membership {

namespace {

using wire::claim_state;
using wire::running_state;

// Sort key of the order in which entry instances claim a server. Those with less than their share come first.
struct claim_order {
    bool has_share = false;
    std::uint64_t rank = 0;

    bool precedes(const claim_order& other) const {
        return has_share != other.has_share ? other.has_share : rank > other.rank;
    }
};

} // namespace

std::size_t server_ownership::fair_share(std::string_view service, std::size_t entries) const {
    const auto servers = static_cast<std::size_t>(
        std::count_if(m_servers.begin(), m_servers.end(), [this, service](const auto& item) {
            return item.second.service == service &&
                   item.second.failure_domain == m_members.self().failure_domain;
        }));
    return (servers + entries - 1) / entries;
}

std::size_t server_ownership::own_claim_count(std::string_view service) const {
    return static_cast<std::size_t>(
        std::count_if(m_claims.begin(), m_claims.end(), [this, service](const auto& item) {
            const auto server = m_servers.find(item.first);
            return server != m_servers.end() && server->second.service == service &&
                   server->second.failure_domain == m_members.self().failure_domain &&
                   item.second.state != claim_state::releasing;
        }));
}

std::size_t server_ownership::peer_claim_count(std::string_view entry, std::string_view service) const {
    const auto view = m_peers.find(entry);
    if (view == m_peers.end()) {
        return 0;
    }
    const auto& claims = view->second.claims;
    return static_cast<std::size_t>(
        std::count_if(claims.begin(), claims.end(), [this, service](const auto& item) {
            const auto server = m_servers.find(item.first);
            return server != m_servers.end() && server->second.service == service;
        }));
}

bool server_ownership::has_running_entry(std::string_view domain) const {
    const auto& members = m_members.members();
    return std::any_of(members.begin(), members.end(), [domain](const auto& item) {
        const member& entry = item.second;
        return entry.record.failure_domain == domain && entry.status == member_status::alive &&
               entry.running == running_state::running;
    });
}

void server_ownership::release_removed_servers() {
    std::vector<std::string> removed;
    for (const auto& [server, claim] : m_claims) {
        if (!m_servers.contains(server)) {
            removed.push_back(server);
        }
    }
    for (const auto& server : removed) {
        release(server);
    }
}

void server_ownership::release_surplus(base::time_point now) {
    if (m_stopping || !m_start_complete) {
        return;
    }
    std::size_t sharers = 1;
    for (const auto& [name, entry] : m_members.members()) {
        const bool same_domain = entry.record.failure_domain == m_members.self().failure_domain;
        sharers += same_domain && !is_dead(entry.status) && entry.running == running_state::running ? 1 : 0;
    }
    std::set<std::string_view> services;
    for (const auto& [server, claim] : m_claims) {
        const auto spec = m_servers.find(server);
        if (spec != m_servers.end()) {
            services.insert(spec->second.service);
        }
    }
    for (const auto service : services) {
        const auto next_release = m_next_release.find(service);
        if (next_release != m_next_release.end() && now < next_release->second) {
            continue;
        }
        release_one_server(service, fair_share(service, sharers));
    }
}

// A server of another failure domain is released as soon as that domain has a running entry instance. A
// server of the own domain is released if this entry instance has more than its share and another one has
// less.
bool server_ownership::may_release(const claimable_server& server, std::string_view service,
                                   std::size_t share) const {
    const std::string& domain = m_members.self().failure_domain;
    if (server.failure_domain != domain) {
        return has_running_entry(server.failure_domain);
    }
    if (own_claim_count(service) <= share) {
        return false;
    }
    const auto& members = m_members.members();
    return std::any_of(members.begin(), members.end(), [&](const auto& item) {
        const member& entry = item.second;
        return entry.record.failure_domain == domain && entry.status == member_status::alive &&
               entry.running == running_state::running && peer_claim_count(item.first, service) < share;
    });
}

// Releases only one server of a service at a time, so that most of the slots of the service stay in use.
void server_ownership::release_one_server(std::string_view service, std::size_t share) {
    const std::string& self = m_members.self().name;
    std::optional<std::pair<std::uint64_t, std::string>> lowest;
    for (const auto& [server, claim] : m_claims) {
        const auto spec = m_servers.find(server);
        if (spec == m_servers.end() || spec->second.service != service) {
            continue;
        }
        if (claim.state == claim_state::releasing) {
            return;
        }
        if (claim.state == claim_state::owned && may_release(spec->second, service, share)) {
            const std::pair candidate{base::rendezvous_rank(server, self), server};
            lowest = lowest.has_value() ? std::min(*lowest, candidate) : candidate;
        }
    }
    if (lowest.has_value()) {
        release(lowest->second);
    }
}

void server_ownership::release(const std::string& server) {
    const auto claim = m_claims.find(server);
    assert(claim != m_claims.end());
    const bool had_permission = claim->second.state != claim_state::proposed;
    if (had_permission && m_in_flight(server) > 0) {
        claim->second.state = claim_state::releasing;
        claim->second.contested = false;
        return;
    }
    erase_claim(server);
}

void server_ownership::erase_claim(const std::string& server) {
    const auto claim = m_claims.find(server);
    if (claim->second.acquired_reported) {
        m_changes.push_back({server, ownership_event::released});
    }
    m_claims.erase(claim);
    m_unclaimed_since.erase(server);
}

void server_ownership::finish_releases() {
    std::vector<std::string> finished;
    for (const auto& [server, claim] : m_claims) {
        if (claim.state == claim_state::releasing && m_in_flight(server) == 0) {
            finished.push_back(server);
        }
    }
    for (const auto& server : finished) {
        erase_claim(server);
    }
}

// ---- new claims ----

// Earliest time at which a server without an owner may be dispatched to. Nothing while a peer claims it.
std::optional<base::time_point> server_ownership::claimable_from(const claimable_server& server) const {
    if (m_claimants.contains(server.name)) {
        return std::nullopt;
    }
    base::time_point free = m_unclaimed_hold_until;
    const auto reserved = m_reserved_until.find(server.name);
    if (reserved != m_reserved_until.end()) {
        free = std::max(free, reserved->second);
    }
    if (server.failure_domain == m_members.self().failure_domain) {
        return free;
    }
    const auto domain_free = domain_claimable_from(server.failure_domain);
    if (!domain_free.has_value()) {
        return std::nullopt;
    }
    return std::max(free, *domain_free);
}

// Time at which the last requests of a failure domain without live entry instances are over. Nothing while
// one of them is live or no attempt to connect to it has failed: its silence may be that of the members that
// relay its counters. All entry instances of the domain count, because their claims may be unknown here.
std::optional<base::time_point> server_ownership::domain_claimable_from(std::string_view domain) const {
    base::time_point free{};
    for (const auto& [name, entry] : m_members.members()) {
        if (entry.record.failure_domain != domain) {
            continue;
        }
        if (!is_dead(entry.status) || !entry.contact_failed) {
            return std::nullopt;
        }
        if (entry.status == member_status::dead_certain) {
            free = std::max(free, entry.status_since + m_longest_timeout + m_settings.certain_death_margin);
        }
    }
    return free;
}

std::size_t server_ownership::position_in_domain(const claimable_server& server) const {
    const auto& self = m_members.self();
    std::size_t entries = 1;
    for (const auto& [name, entry] : m_members.members()) {
        const bool eligible = entry.record.failure_domain == self.failure_domain &&
                              entry.status == member_status::alive &&
                              entry.running != running_state::stopping;
        entries += eligible ? 1 : 0;
    }
    const std::size_t share = fair_share(server.service, entries);
    const claim_order own{own_claim_count(server.service) >= share,
                          base::rendezvous_rank(server.name, self.name)};
    std::size_t position = 0;
    for (const auto& [name, entry] : m_members.members()) {
        const bool eligible = entry.record.failure_domain == self.failure_domain &&
                              entry.status == member_status::alive &&
                              entry.running != running_state::stopping;
        const claim_order other{peer_claim_count(name, server.service) >= share,
                                base::rendezvous_rank(server.name, name)};
        position += eligible && other.precedes(own) ? 1 : 0;
    }
    return position;
}

std::size_t server_ownership::position_in_region(const claimable_server& server) const {
    const std::uint64_t own = base::rendezvous_rank(server.name, m_members.self().name);
    std::size_t position = 0;
    for (const auto& [name, entry] : m_members.members()) {
        const bool eligible = entry.record.region == server.region && entry.status == member_status::alive &&
                              entry.running == running_state::running && m_members.is_region_delegate(name);
        position += eligible && base::rendezvous_rank(server.name, name) > own ? 1 : 0;
    }
    return position;
}

// The position of this entry instance in the order of those that may claim the server. Each position waits
// one stagger longer, so that a server is still claimed if the entry instances ahead cannot reach it.
std::optional<std::size_t> server_ownership::claim_position(const claimable_server& server) const {
    const auto& self = m_members.self();
    if (server.failure_domain == self.failure_domain) {
        return position_in_domain(server);
    }
    if (server.region != self.region || !m_members.is_region_delegate(self.name) ||
        !m_reachable(server.name)) {
        return std::nullopt;
    }
    return position_in_region(server);
}

void server_ownership::propose_claim(const claimable_server& server, base::time_point now) {
    const auto free = claimable_from(server);
    if (!free.has_value() || now + m_settings.revalidation_time < *free) {
        m_unclaimed_since.erase(server.name);
        return;
    }
    const auto next_proposal = m_next_proposal.find(server.name);
    if (next_proposal != m_next_proposal.end() && now < next_proposal->second) {
        return;
    }
    const auto position = claim_position(server);
    if (!position.has_value()) {
        m_unclaimed_since.erase(server.name);
        return;
    }
    const auto since = m_unclaimed_since.try_emplace(server.name, now).first->second;
    if (now < since + static_cast<std::int64_t>(*position) * m_settings.claim_stagger) {
        return;
    }
    const bool own_domain = server.failure_domain == m_members.self().failure_domain;
    if (own_domain && *position > 0) {
        // The entry instances ahead did not claim the server, so releasing it again would only leave it idle.
        m_next_release[server.service] = now + m_settings.release_pause;
    }
    local_claim claim;
    claim.epoch = ++m_epochs[server.name];
    claim.not_before = *free;
    m_claims.emplace(server.name, claim);
    m_next_proposal.erase(server.name);
}

void server_ownership::propose_claims(base::time_point now) {
    if (m_stopping || !m_start_complete || m_round.has_value()) {
        return;
    }
    for (const auto& [name, server] : m_servers) {
        if (!m_claims.contains(name)) {
            propose_claim(server, now);
        }
    }
}

} // namespace carawayway::membership
