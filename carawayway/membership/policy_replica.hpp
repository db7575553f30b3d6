// The policy in force on this entry instance and its replication between entry instances: the highest
// revision wins, and a lower revision never replaces it.
#pragma once

#include "carawayway/base/time.hpp"
#include "carawayway/membership/member_table.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace carawayway::membership {

enum class readiness : std::uint8_t { not_ready, ready };

// A watcher reads the policy from the store; a follower gets it from its peers.
enum class store_role : std::uint8_t { watcher, follower };

struct policy_replica_settings {
    // After this time without an answer, the next peer is asked.
    base::duration request_timeout = std::chrono::milliseconds(500);
    std::size_t watchers_per_domain = 2;
};

class policy_replica {
public:
    explicit policy_replica(policy_replica_settings settings) : m_settings(settings) {}

    std::int64_t revision() const { return m_revision; } // 0: none
    const std::string& document() const { return m_document; }

    // Whether a valid document with this revision would replace the one in force.
    bool would_adopt(std::int64_t revision) const;

    // Puts a valid document into force. False if its revision is not newer or was rejected.
    bool adopt(std::int64_t revision, std::string document);

    // Marks a revision as invalid, so that it is not requested again.
    void reject(std::int64_t revision);

    // To be called with the revision in the envelope of each message from a peer.
    void observe_peer_revision(std::string_view peer, std::int64_t revision);
    void forget_peer(std::string_view peer);

    // The peer to send a policy request to now, if any. The request timeout starts with this call.
    std::optional<std::string> next_peer_to_ask(base::time_point now);

    readiness state() const { return m_revision > 0 ? readiness::ready : readiness::not_ready; }

    // The entry instances with the lowest rendezvous ranks among those of the failure domain that are alive
    // and not stopping watch the store.
    store_role choose_store_role(const member_table& members) const;

private:
    policy_replica_settings m_settings;
    std::int64_t m_revision = 0;
    std::string m_document;
    std::map<std::string, std::int64_t, std::less<>> m_peer_revisions;
    std::set<std::int64_t> m_rejected_revisions;
    std::set<std::string, std::less<>> m_asked_peers; // for the wanted revision
    std::int64_t m_wanted_revision = 0;
    base::time_point m_requested_at{};
    bool m_request_pending = false;
};

} // namespace carawayway::membership
