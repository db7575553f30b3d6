// Which backend servers this entry instance may dispatch to. At any time at most one entry instance may
// dispatch to a server, as long as entry instances of one failure domain that run also reach each other.
//
// A claim is made in two steps. It is first proposed to all live peers that could claim the same server, and
// becomes ownership when each of them answered without a conflicting claim, was found dead, or was silent for
// the revalidation time. A peer that is silent for that long is paused and revalidates before it dispatches.
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

// Whether an entry instance waits after its start before it claims anything. Without the hold, requests of a
// predecessor may still run on a server that is claimed.
enum class start_hold : std::uint8_t { wait, none };

struct ownership_settings {
    base::duration term = std::chrono::seconds(3);
    base::duration pause_limit = std::chrono::milliseconds(500);
    base::duration revalidation_time = std::chrono::seconds(1);
    base::duration certain_death_margin = std::chrono::milliseconds(200);
    base::duration claim_stagger = std::chrono::milliseconds(500);    // per place in the rendezvous order
    base::duration release_pause = std::chrono::seconds(10);          // after a released server was not taken
    base::duration request_interval = std::chrono::milliseconds(200); // between repeated claims requests
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
    released,  // the claim is gone
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
    // Requests of this entry instance in flight on a server.
    using in_flight_count = std::function<std::uint32_t(std::string_view server)>;
    // Whether this entry instance can connect to a server of another failure domain.
    using reachability = std::function<bool(std::string_view server)>;

    // `members` must outlive this object and be updated first with what is reported here.
    server_ownership(const member_table& members, ownership_settings settings, in_flight_count in_flight,
                     reachability reachable, base::time_point now);

    // The servers of the policy in force and its longest request timeout.
    void configure(const std::vector<claimable_server>& servers, base::duration longest_timeout);

    // Releases all servers; nothing is claimed any more.
    void stop();

    void observe_heartbeat(std::string_view entry, std::uint64_t incarnation, const wire::heartbeat& message,
                           base::time_point now);
    wire::claims_report answer_claims_request(std::string_view entry, std::uint64_t incarnation,
                                              const wire::claims_request& request, base::time_point now);
    void observe_report(std::string_view entry, std::uint64_t incarnation, const wire::claims_report& report,
                        base::time_point now);

    // Must be called more often than the pause limit, after the member table's tick. Returns the changes
    // since the last call.
    std::vector<ownership_change> tick(base::time_point now);

    // Requests to send now. Each is repeated until it is answered.
    std::vector<outgoing_claims_request> take_claims_requests(base::time_point now);

    // Whether a request may be dispatched to the server at `now`.
    bool owns(std::string_view server, base::time_point now) const;

    // Whether the wait after the start is over; until then the heartbeats should say `starting`.
    bool start_complete() const { return m_start_complete; }

    // A dispatch that was decided must not be written after this time.
    base::time_point dispatch_permitted_until() const { return m_last_tick + m_settings.pause_limit; }

    // Members to keep a link to besides those of the member table: as long as this entry instance claims
    // servers of another failure domain, all members of that domain must hear of it.
    std::vector<wire::member_record> needed_links() const;

    // For heartbeats and reports.
    const std::vector<wire::server_claim>& claims() const { return m_published; }
    std::uint64_t claims_version() const { return m_claims_version; }

private:
    // A claim of this entry instance.
    struct local_claim {
        std::uint64_t epoch = 0;
        wire::claim_state state = wire::claim_state::proposed;
        bool confirmed = false;        // all peers agreed to the proposal
        bool contested = false;        // another entry instance claims the server as well
        bool announced = false;        // reported as acquired or resumed, and not as suspended since
        bool held = false;             // reported as acquired
        base::time_point not_before{}; // earliest time of ownership
    };

    // What a peer said about its claims.
    struct peer_claims {
        std::uint64_t incarnation = 0;
        std::uint64_t version = 0;
        std::map<std::string, wire::server_claim, std::less<>> claims;
        bool known = false;              // claims of this incarnation were received
        bool dead = false;               // the claims were turned into reservations
        base::time_point next_request{}; // not asked again before this time
        base::time_point linked_at{};    // when a link to it was last seen
    };

    // One round of questions to the peers about the claims that are proposed or unconfirmed.
    struct confirmation_round {
        std::uint64_t token = 0;
        base::time_point started{};
        std::set<std::string, std::less<>> waiting;
        std::set<std::string, std::less<>> answered;
        std::set<std::string, std::less<>> servers;
    };

    using claim_map = std::map<std::string, local_claim, std::less<>>;

    void observe_claims(std::string_view entry, std::uint64_t incarnation, std::uint64_t version,
                        const std::vector<wire::server_claim>& claims);
    void withdraw_known_elsewhere(const wire::claims_report& report, base::time_point now);
    bool known_elsewhere(const wire::entry_claim& known) const;
    void drop_claims(std::string_view entry, peer_claims& view);
    void bury(std::string_view entry, peer_claims& view, base::time_point until);
    void apply_incarnation(std::string_view entry, base::time_point now);
    void apply_deaths(base::time_point now);
    void apply_death(const member& entry, base::time_point now);
    void detect_pause(base::time_point now);
    void update_start(base::time_point now);
    void resolve_conflicts();
    void resolve_conflict(const std::string& server, local_claim& claim);
    bool yields(std::string_view server, const local_claim& own, std::string_view entry,
                const wire::server_claim& other) const;
    void finish_round(base::time_point now);
    void start_round(base::time_point now);
    std::vector<std::string> round_peers() const;
    bool round_peer(const member& entry) const;
    void become_owner(base::time_point now);
    void release_removed();
    void drop_outdated(const member& entry, peer_claims& view, base::time_point now);
    void release_surplus(base::time_point now);
    void release_one(std::string_view service, std::size_t share);
    bool may_release(const claimable_server& server, std::string_view service, std::size_t share) const;
    void finish_releases();
    void propose(base::time_point now);
    void propose_server(const claimable_server& server, base::time_point now);
    std::optional<std::size_t> claim_position(const claimable_server& server) const;
    std::size_t position_in_domain(const claimable_server& server) const;
    std::size_t position_as_neighbour(const claimable_server& server) const;
    std::optional<base::time_point> free_at(const claimable_server& server) const;
    std::optional<base::time_point> domain_free_at(std::string_view domain) const;
    std::size_t share_of(std::string_view service, std::size_t entries) const;
    std::size_t own_claims_of(std::string_view service) const;
    std::size_t claims_of(std::string_view entry, std::string_view service) const;
    bool domain_runs(std::string_view domain) const;
    void give_up(const std::string& server);
    void erase_claim(const std::string& server);
    void report_changes();
    void publish();

    const member_table& m_members;
    ownership_settings m_settings;
    in_flight_count m_in_flight;
    reachability m_reachable;
    std::map<std::string, claimable_server, std::less<>> m_servers;
    base::duration m_longest_timeout{};
    claim_map m_claims;
    std::map<std::string, peer_claims, std::less<>> m_peers;
    std::map<std::string, std::uint64_t, std::less<>> m_epochs;            // highest seen per server
    std::map<std::string, base::time_point, std::less<>> m_reserved_until; // after the death of an owner
    std::map<std::string, std::set<std::string, std::less<>>, std::less<>> m_claimants; // peers per server
    std::map<std::string, base::time_point, std::less<>> m_unclaimed_since;             // for the stagger
    std::map<std::string, base::time_point, std::less<>> m_retry_after;   // after a claim known by hearsay
    std::map<std::string, base::time_point, std::less<>> m_release_after; // by service
    std::optional<confirmation_round> m_round;
    std::vector<ownership_change> m_changes;
    std::vector<wire::server_claim> m_published;
    std::uint64_t m_claims_version = 1;
    std::uint64_t m_next_token = 1;
    base::time_point m_last_tick;
    base::time_point m_awake_since; // start or end of the last pause
    base::time_point m_pause_began; // of the last pause, or of the first one of several in quick succession
    base::time_point m_started_at;
    base::time_point m_unclaimed_hold; // no server without an owner is claimed before this time
    bool m_configured = false;
    bool m_start_complete = false;
    bool m_stopping = false;
};

} // namespace carawayway::membership
