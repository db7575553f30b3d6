// Adopts policy revisions and chooses the peer to request a newer one from.
#include "carawayway/membership/policy_replica.hpp"

#include "carawayway/base/hash.hpp"

#include <algorithm>
#include <utility>

namespace carawayway::membership {

bool policy_replica::would_adopt(std::int64_t revision) const {
    return revision > m_revision && !m_rejected_revisions.contains(revision);
}

bool policy_replica::adopt(std::int64_t revision, std::string document) {
    if (!would_adopt(revision)) {
        return false;
    }
    m_revision = revision;
    m_document = std::move(document);
    m_request_pending = false;
    m_asked_peers.clear();
    return true;
}

void policy_replica::reject(std::int64_t revision) {
    m_rejected_revisions.insert(revision);
    m_request_pending = false;
    m_asked_peers.clear();
}

void policy_replica::observe_peer_revision(std::string_view peer, std::int64_t revision) {
    m_peer_revisions[std::string(peer)] = revision;
}

void policy_replica::forget_peer(std::string_view peer) {
    const auto found = m_peer_revisions.find(peer);
    if (found != m_peer_revisions.end()) {
        m_peer_revisions.erase(found);
    }
}

std::optional<std::string> policy_replica::next_peer_to_ask(base::time_point now) {
    std::int64_t wanted = 0;
    for (const auto& [peer, revision] : m_peer_revisions) {
        if (would_adopt(revision)) {
            wanted = std::max(wanted, revision);
        }
    }
    if (wanted != m_wanted_revision) {
        m_wanted_revision = wanted;
        m_asked_peers.clear();
        m_request_pending = false;
    }
    if (wanted == 0 || (m_request_pending && now - m_requested_at < m_settings.request_timeout)) {
        return std::nullopt;
    }
    const std::string* chosen = nullptr;
    for (const auto& [peer, revision] : m_peer_revisions) {
        if (revision == wanted && !m_asked_peers.contains(peer)) {
            chosen = &peer;
            break;
        }
    }
    m_request_pending = true;
    m_requested_at = now;
    if (chosen == nullptr) {
        m_asked_peers.clear(); // every peer was asked: start over after the timeout
        return std::nullopt;
    }
    m_asked_peers.insert(*chosen);
    return *chosen;
}

store_role policy_replica::choose_store_role(const member_table& members) const {
    const auto& self = members.self();
    const std::uint64_t own_rank = base::rendezvous_rank(self.failure_domain, self.name);
    std::size_t lower_ranked = 0;
    for (const auto& [name, entry] : members.members()) {
        const bool eligible = entry.record.failure_domain == self.failure_domain &&
                              entry.status == member_status::alive &&
                              entry.running != wire::running_state::stopping;
        lower_ranked += eligible && base::rendezvous_rank(self.failure_domain, name) < own_rank ? 1 : 0;
    }
    return lower_ranked < m_settings.watchers_per_domain ? store_role::watcher : store_role::follower;
}

} // namespace carawayway::membership
