// How the policy spreads between entry instances: the highest revision wins, and nothing ever goes back.
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

// Whether this entry instance watches the store or learns from its peers.
enum class store_role : std::uint8_t { watcher, follower };

struct policy_replica_settings {
    base::duration request_timeout = std::chrono::milliseconds(500); // then the next peer is asked
    std::size_t watchers = 2;                                        // per failure domain
};

class policy_replica {
public:
    explicit policy_replica(policy_replica_settings settings) : m_settings(settings) {}

    std::int64_t revision() const { return m_revision; } // 0: none
    const std::string& document() const { return m_document; }

    // Whether a document with this revision would replace the one in force.
    bool would_adopt(std::int64_t revision) const;

    // Puts a valid document into force; false when it is not newer.
    bool adopt(std::int64_t revision, std::string document);

    // A document that this entry instance cannot use. Its revision is not asked for again.
    void reject(std::int64_t revision);

    // The revision in the envelope of any message from a peer.
    void observe_peer_revision(std::string_view peer, std::int64_t revision);
    void forget_peer(std::string_view peer);

    // The peer to ask for its policy now, if any. Each call starts the timeout of that request.
    std::optional<std::string> next_peer_to_ask(base::time_point now);

    readiness state() const { return m_revision > 0 ? readiness::ready : readiness::not_ready; }

    // The live entry instances of the failure domain with the lowest rendezvous ranks watch the store.
    store_role choose_store_role(const member_table& members) const;

private:
    policy_replica_settings m_settings;
    std::int64_t m_revision = 0;
    std::string m_document;
    std::map<std::string, std::int64_t, std::less<>> m_peer_revisions;
    std::set<std::int64_t> m_rejected;
    std::set<std::string, std::less<>> m_asked; // without an answer, for the revision wanted now
    std::int64_t m_wanted = 0;
    base::time_point m_asked_at{};
    bool m_waiting = false;
};

} // namespace carawayway::membership
