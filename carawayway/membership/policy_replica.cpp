// Adoption of revisions and choice of the peer to ask.
#include "carawayway/membership/policy_replica.hpp"

#include "carawayway/base/hash.hpp"

#include <algorithm>
#include <utility>

namespace carawayway::membership {

bool policy_replica::would_adopt(std::int64_t revision) const {
    return revision > m_revision && !m_rejected.contains(revision);
}

bool policy_replica::adopt(std::int64_t revision, std::string document) {
    if (!would_adopt(revision)) {
        return false;
    }
    m_revision = revision;
    m_document = std::move(document);
    m_waiting = false;
    m_asked.clear();
    return true;
}

void policy_replica::reject(std::int64_t revision) {
    m_rejected.insert(revision);
    m_waiting = false;
    m_asked.clear();
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
    if (wanted != m_wanted) {
        m_wanted = wanted;
        m_asked.clear();
        m_waiting = false;
    }
    if (wanted == 0 || (m_waiting && now - m_asked_at < m_settings.request_timeout)) {
        return std::nullopt;
    }
    const std::string* chosen = nullptr;
    for (const auto& [peer, revision] : m_peer_revisions) {
        if (revision == wanted && !m_asked.contains(peer)) {
            chosen = &peer;
            break;
        }
    }
    m_waiting = true;
    m_asked_at = now;
    if (chosen == nullptr) {
        m_asked.clear(); // all were asked: starts again after the timeout
        return std::nullopt;
    }
    m_asked.insert(*chosen);
    return *chosen;
}

store_role policy_replica::choose_store_role(const member_table& members) const {
    const auto& self = members.self();
    const std::uint64_t own = base::rendezvous_rank(self.failure_domain, self.name);
    std::size_t lower = 0;
    for (const auto& [name, entry] : members.members()) {
        const bool counts = entry.record.failure_domain == self.failure_domain &&
                            entry.status == member_status::alive &&
                            entry.running != wire::running_state::stopping;
        lower += counts && base::rendezvous_rank(self.failure_domain, name) < own ? 1 : 0;
    }
    return lower < m_settings.watchers ? store_role::watcher : store_role::follower;
}

} // namespace carawayway::membership
