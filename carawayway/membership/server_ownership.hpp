// Decides which backend servers this entry instance may dispatch to. At any time at most one entry instance
// may dispatch to a server, as long as the running entry instances of each failure domain can reach each
// other.
//
// A claim is made in two steps. It is first proposed to all live peers that could claim the same server. It
// becomes ownership when each of them has answered without a conflicting claim, is known to be dead, or has
// been silent for the revalidation time. A peer that is silent for that long is paused and must revalidate
// its claims before it dispatches.
#pragma once

#include "carawayway/base/time.hpp"
#include "carawayway/membership/member_table.hpp"
#include "carawayway/wire/messages.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace carawayway::membership {

// Whether an entry instance waits after its start before it claims servers. Without the wait, a claimed
// server may still run requests of the previous process.
enum class start_hold : std::uint8_t { wait, none };

struct ownership_settings {
    // A silent owner is replaced after the term plus the longest request timeout.
    base::duration term = std::chrono::seconds(3);
    base::duration pause_limit = std::chrono::milliseconds(500);
    base::duration revalidation_time = std::chrono::seconds(1);
    base::duration certain_death_margin = std::chrono::milliseconds(200);
    // Additional wait before a claim, per position in the claim order.
    base::duration claim_stagger = std::chrono::milliseconds(500);
    // A service is not released from for this long after this entry instance claimed one of its servers
    // because those ahead in the claim order did not.
    base::duration release_pause = std::chrono::seconds(10);
    // Between repeated claims requests to one peer.
    base::duration request_interval = std::chrono::milliseconds(200);
    start_hold hold = start_hold::wait;
};

struct claimable_server {
    std::string name;
    std::string service;
    std::string failure_domain;
    std::string region;

    bool operator==(const claimable_server&) const = default;
};

enum class ownership_event : std::uint8_t {
    acquired,  // may dispatch from now on
    released,  // the claim was removed
    suspended, // no new dispatch; requests in flight may finish
    resumed,   // may dispatch again
};

struct ownership_change {
    std::string server;
    ownership_event event = ownership_event::acquired;

    bool operator==(const ownership_change&) const = default;
};

struct outgoing_claims_request {
    std::string entry;
    wire::claims_request request;

    bool operator==(const outgoing_claims_request&) const = default;
};

class server_ownership {
public:
    // The number of requests that this entry instance has in flight on a server.
    using in_flight_count = std::function<std::uint32_t(std::string_view server)>;
    // Whether this entry instance can connect to a server of another failure domain.
    using reachability = std::function<bool(std::string_view server)>;

    // `members` must outlive this object. Each event must be reported to `members` before it is reported
    // here.
    server_ownership(const member_table& members, ownership_settings settings, in_flight_count in_flight,
                     reachability reachable, base::time_point now);

    // Sets the servers of the policy in force and its longest request timeout.
    void configure(const std::vector<claimable_server>& servers, base::duration longest_timeout);

    // Releases all servers and claims no more.
    void stop();

    void observe_heartbeat(std::string_view entry, std::uint64_t incarnation, const wire::heartbeat& message,
                           base::time_point now);
    wire::claims_report answer_claims_request(std::string_view entry, std::uint64_t incarnation,
                                              const wire::claims_request& request, base::time_point now);
    void observe_report(std::string_view entry, std::uint64_t incarnation, const wire::claims_report& report,
                        base::time_point now);

    // Must be called at intervals below the pause limit, each time after the tick of the member table.
    // Returns the changes since the last call.
    std::vector<ownership_change> tick(base::time_point now);

    // The claims requests to send now. Each is repeated until it is answered.
    std::vector<outgoing_claims_request> take_claims_requests(base::time_point now);

    // Whether a request may be dispatched to the server at `now`.
    bool owns(std::string_view server, base::time_point now) const;

    // Whether the wait after the start is over. Until then, heartbeats should report the state `starting`.
    bool start_complete() const { return m_start_complete; }

    // A dispatch decided earlier must not be written to the server's connection after this time.
    base::time_point dispatch_permitted_until() const { return m_last_tick + m_settings.pause_limit; }

    // Members to keep a link to in addition to those of the member table: while this entry instance claims
    // servers of another failure domain, all members of that domain must receive its claims.
    std::vector<wire::member_record> needed_links() const;

    // The claims to send in heartbeats and claims reports.
    const std::vector<wire::server_claim>& claims() const { return m_published_claims; }
    std::uint64_t claims_version() const { return m_claims_version; }

private:
    // A claim of this entry instance.
    struct local_claim {
        std::uint64_t epoch = 0;
        wire::claim_state state = wire::claim_state::proposed;
        bool confirmed = false;         // all peers agreed to the proposal
        bool contested = false;         // another entry instance claims the server as well
        bool usable_reported = false;   // the last reported event was `acquired` or `resumed`
        bool acquired_reported = false; // `acquired` was reported
        base::time_point not_before{};  // earliest time of ownership
    };

    // The claims that a peer reported last.
    struct peer_claims {
        std::uint64_t incarnation = 0;
        std::uint64_t version = 0;
        std::map<std::string, wire::server_claim, std::less<>> claims;
        bool known = false;                 // claims of this incarnation were received
        bool dead = false;                  // its claims were turned into reservations
        base::time_point next_request_at{}; // no claims request is sent before this time
        base::time_point last_linked_at{};  // last time that a link to it was up
    };

    // One round of claims requests to the peers about the claims that are proposed or unconfirmed.
    struct confirmation_round {
        std::uint64_t token = 0;
        base::time_point started{};
        std::set<std::string, std::less<>> pending_peers;
        std::set<std::string, std::less<>> answered;
        std::set<std::string, std::less<>> servers;
    };

    using claim_map = std::map<std::string, local_claim, std::less<>>;

    void observe_claims(std::string_view entry, std::uint64_t incarnation, std::uint64_t version,
                        const std::vector<wire::server_claim>& claims);
    void yield_to_unasked_entries(const wire::claims_report& report, base::time_point now);
    bool is_from_unasked_entry(const wire::entry_claim& known) const;
    void erase_peer_claims(std::string_view entry, peer_claims& view);
    void reserve_servers(std::string_view entry, peer_claims& view, base::time_point until);
    void apply_status_of(std::string_view entry, base::time_point now);
    void apply_member_statuses(base::time_point now);
    void apply_member_status(const member& entry, base::time_point now);
    void detect_pause(base::time_point now);
    void update_start_complete(base::time_point now);
    void resolve_conflicts();
    void resolve_conflict(const std::string& server, local_claim& claim);
    bool must_yield(std::string_view server, const local_claim& own, std::string_view entry,
                    const wire::server_claim& other) const;
    void finish_round(base::time_point now);
    void start_round(base::time_point now);
    std::vector<std::string> round_peers() const;
    bool takes_part_in_rounds(const member& entry) const;
    void acquire_confirmed_claims(base::time_point now);
    void release_removed_servers();
    void erase_outdated_claims(const member& entry, peer_claims& view, base::time_point now);
    void release_surplus(base::time_point now);
    void release_one_server(std::string_view service, std::size_t share);
    bool may_release(const claimable_server& server, std::string_view service, std::size_t share) const;
    void finish_releases();
    void propose_claims(base::time_point now);
    void propose_claim(const claimable_server& server, base::time_point now);
    std::optional<std::size_t> claim_position(const claimable_server& server) const;
    std::size_t position_in_domain(const claimable_server& server) const;
    std::size_t position_in_region(const claimable_server& server) const;
    std::optional<base::time_point> claimable_from(const claimable_server& server) const;
    std::optional<base::time_point> domain_claimable_from(std::string_view domain) const;
    std::size_t fair_share(std::string_view service, std::size_t entries) const;
    std::size_t own_claim_count(std::string_view service) const;
    std::size_t peer_claim_count(std::string_view entry, std::string_view service) const;
    bool has_running_entry(std::string_view domain) const;
    void release(const std::string& server);
    void erase_claim(const std::string& server);
    void queue_ownership_changes();
    void publish();

    const member_table& m_members;
    ownership_settings m_settings;
    in_flight_count m_in_flight;
    reachability m_reachable;
    std::map<std::string, claimable_server, std::less<>> m_servers;
    base::duration m_longest_timeout{};
    claim_map m_claims;
    std::map<std::string, peer_claims, std::less<>> m_peers;
    // By server:
    std::map<std::string, std::uint64_t, std::less<>> m_epochs;                         // highest known epoch
    std::map<std::string, base::time_point, std::less<>> m_reserved_until;              // after an owner died
    std::map<std::string, std::set<std::string, std::less<>>, std::less<>> m_claimants; // peers
    std::map<std::string, base::time_point, std::less<>> m_unclaimed_since; // start of the stagger
    // Set when a peer reported a claim of an entry instance that is not asked itself.
    std::map<std::string, base::time_point, std::less<>> m_next_proposal;
    std::map<std::string, base::time_point, std::less<>> m_next_release; // by service
    std::optional<confirmation_round> m_round;
    std::vector<ownership_change> m_changes;
    std::vector<wire::server_claim> m_published_claims;
    std::uint64_t m_claims_version = 1;
    std::uint64_t m_next_token = 1;
    base::time_point m_last_tick;
    base::time_point m_awake_since; // process start or end of the last pause
    // Start of the last pause, or of the first one of several in quick succession.
    base::time_point m_pause_started;
    base::time_point m_started_at;
    base::time_point m_unclaimed_hold_until; // no server without an owner is acquired before this time
    bool m_configured = false;
    bool m_start_complete = false;
    bool m_stopping = false;
};

} // namespace carawayway::membership
