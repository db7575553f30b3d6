// All decisions of an entry instance: the data path, membership, ownership of servers and the distribution of
// the policy. It performs no I/O: the runtime passes in events with the time and carries out the effects.
#pragma once

#include "carawayway/engine/byte_rate_limiter.hpp"
#include "carawayway/engine/effect.hpp"
#include "carawayway/engine/explain_report.hpp"
#include "carawayway/engine/instance_record.hpp"
#include "carawayway/engine/request_engine.hpp"
#include "carawayway/engine/status_report.hpp"
#include "carawayway/membership/member_table.hpp"
#include "carawayway/membership/policy_replica.hpp"
#include "carawayway/membership/server_ownership.hpp"
#include "carawayway/membership/summary_table.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace carawayway::engine {

struct control_settings {
    // Interval of the membership and ownership checks. It has to be well below the pause limit, since a
    // longer gap counts as a pause. The cost of a check grows with the number of members.
    base::duration control_interval = std::chrono::milliseconds(50);
    // Shortest intervals. They grow with the number of links, so that the traffic stays within the rates
    // below.
    base::duration heartbeat_interval = std::chrono::milliseconds(250);
    // Less than half of the silence limit.
    base::duration longest_heartbeat_interval = std::chrono::seconds(2);
    base::duration summary_interval = std::chrono::milliseconds(500);
    // Entry instances of the own region get a summary soon after free slots appear or run out.
    base::duration regional_summary_interval = std::chrono::milliseconds(20);
    double heartbeat_bytes_per_second = 4000;
    double summary_bytes_per_second = 1500;
    double regional_summary_bytes_per_second = 1500;
    std::size_t relayed_counters = 3; // per heartbeat; 1 if there are more links than the full mesh limit
    std::size_t lookup_entries = 8;   // entry instances named in a look-up response
    // At least this many of them are outside the home region, if available.
    std::size_t other_region_lookup_entries = 2;
    base::duration summary_lifetime = std::chrono::seconds(5);
    membership::ownership_settings ownership;
    membership::member_settings members;
};

enum class run_state : std::uint8_t {
    running,
    leaving,  // no longer in look-up responses, but serves callers that have cached some
    draining, // admits no new requests; finishes those in progress
    stopped,  // no requests and no server claims are left
};

std::string_view to_string(run_state state);

class entry_engine {
public:
    entry_engine(const engine_identity& identity, const wire::member_record& self, control_settings control,
                 engine_limits limits, std::uint64_t seed, metrics::metric_registry& metrics,
                 base::time_point now);

    void add_seed(const wire::member_record& seed, base::time_point now);

    // Callers.
    void caller_request(std::uint64_t token, request_ptr request, base::time_point now, effects& out);
    void caller_left(std::uint64_t token, base::time_point now, effects& out);
    lookup_response lookup(const std::string& service, const std::string& client_address,
                           base::time_point now);

    // Backend servers.
    void attempt_finished(std::uint64_t attempt, server_result result, base::time_point now, effects& out);
    enum class reachability : std::uint8_t { reachable, unreachable };
    void server_probed(const std::string& server, reachability result, base::time_point now);

    // Peers.
    void link_up(const std::string& peer, const wire::hello& remote, base::time_point now, effects& out);
    void link_down(const std::string& peer, base::time_point now, effects& out);
    void connect_failed(const std::string& peer, membership::contact_failure evidence, base::time_point now,
                        effects& out);
    void peer_message(const std::string& peer, wire::received_message message, base::time_point now,
                      effects& out);
    void peer_call_lost(const std::string& peer, std::uint64_t call, loss_evidence evidence,
                        base::time_point now, effects& out);

    // Platform.
    void policy_read(std::int64_t revision, std::string document, base::time_point now, effects& out);
    void instances_read(const std::vector<instance_record>& instances, base::time_point now, effects& out);

    // Has to be called at least every few milliseconds.
    void tick(base::time_point now, effects& out);

    // Begins a graceful stop. Callers with cached look-up responses are served until those have expired.
    void begin_stop(base::time_point now, effects& out);
    run_state state() const { return m_state; }

    // Empty if ready.
    std::optional<std::string> not_ready_reason() const;

    const request_engine& requests() const { return m_requests; }
    const membership::server_ownership& ownership() const { return m_ownership; }
    status_report status(base::time_point now) const;
    // `error` is set for an unknown service, for an invalid client address, and if no policy is in force.
    explain_report explain(const std::string& service, const std::string& client_address,
                           base::time_point now) const;
    std::int64_t revision() const { return m_policy_replica.revision(); }
    const std::string& policy_document() const { return m_policy_replica.document(); }
    const engine_identity& identity() const { return m_identity; }
    void update_gauges(base::time_point now);

private:
    // entry_engine.cpp
    std::vector<member_report> members() const;
    void add_prefix(lookup_response& response, const std::string& preferred_region, base::time_point now);
    std::vector<lookup_entry> choose_lookup_entries(const std::vector<std::size_t>& order,
                                                    const std::vector<const wire::member_record*>& records,
                                                    const std::string& preferred_region) const;
    std::vector<lookup_entry> lookup_entries(const std::string& service, const std::string& home_region,
                                             const std::string& client_address, base::time_point now) const;
    void revalidate_after_pause(base::time_point now, effects& out);
    void adopt_policy(std::int64_t revision, std::string document, base::time_point now, effects& out);
    void apply_policy(base::time_point now, effects& out);
    void advance_stop(base::time_point now, effects& out);
    void apply_instance_lists(base::time_point now, effects& out);
    wire::running_state running_state() const;

    // entry_control.cpp
    void control_tick(base::time_point now, effects& out);
    void apply_member_changes(base::time_point now, effects& out);
    void apply_ownership(base::time_point now, effects& out);
    void send_heartbeats(base::time_point now, effects& out);
    wire::entry_summary make_summary(base::time_point now);
    void send_summaries(base::time_point now, effects& out);
    void send_regional_summaries(base::time_point now, effects& out);
    std::vector<std::string> regional_links() const;
    void update_reference_rates(base::time_point now);
    void update_reference_rate(const shifting::shift_key& key, base::time_point now);
    void request_policy(base::time_point now, effects& out);
    void update_link_targets(effects& out);
    void update_store_watch(base::time_point now, effects& out);
    void probe_takeover_candidates(base::time_point now, effects& out);
    void broadcast_draining_servers(base::time_point now, effects& out);
    void schedule_list_expiry(const std::string& sender, base::time_point now);
    void expire_instance_lists(base::time_point now, effects& out);
    bool is_reachable(std::string_view server) const;

    // One handler for each kind of message. Links consume hello and hello_proof, so these handlers do
    // nothing.
    struct message_context {
        const std::string& peer;
        std::uint64_t incarnation = 0;
        base::time_point now;
        effects& out;
    };
    void handle(const message_context& context, wire::heartbeat& message);
    void handle(const message_context& context, wire::claims_request& message);
    void handle(const message_context& context, wire::claims_report& message);
    void handle(const message_context& context, wire::member_list& message);
    void handle(const message_context& context, wire::entry_summary& message);
    void handle(const message_context& context, wire::policy_request& message);
    void handle(const message_context& context, wire::policy_document& message);
    void handle(const message_context& context, wire::forward_request& message);
    void handle(const message_context& context, wire::execute_request& message);
    void handle(const message_context& context, wire::request_result& message);
    void handle(const message_context& context, wire::cancel_request& message);
    void handle(const message_context& context, wire::strike& message);
    void handle(const message_context& context, wire::strike_cleared& message);
    void handle(const message_context& context, wire::drain_notice& message);
    void handle(const message_context& context, wire::hello& message);
    void handle(const message_context& context, wire::hello_proof& message);

    using service_and_region = std::pair<std::string, std::string>;

    engine_identity m_identity;
    control_settings m_control;
    membership::member_table m_members;
    request_engine m_requests;
    membership::server_ownership m_ownership;
    membership::policy_replica m_policy_replica;
    membership::summary_table m_summaries;

    run_state m_state = run_state::running;
    base::time_point m_state_since;
    std::uint64_t m_heartbeat_counter = 0;
    base::time_point m_next_control;
    base::time_point m_next_heartbeat;
    base::time_point m_next_summary;
    base::time_point m_next_regional_summary;
    byte_rate_limiter m_heartbeat_limiter;
    byte_rate_limiter m_summary_limiter;
    byte_rate_limiter m_regional_summary_limiter;
    // Capacity levels in the last summary; empty if the summary has to be repeated.
    std::vector<std::uint8_t> m_published_capacity;
    base::time_point m_next_maintenance; // next run of the work that is done once a second
    std::set<std::string> m_links;
    // When another entry instance first claimed a server of the policy. A server that is taken over is
    // already warm.
    std::map<std::string, base::time_point> m_first_claimed;
    std::map<std::string, std::uint64_t> m_claims_sent; // by link: version of the claims that was last sent
    std::map<std::string, std::int64_t> m_peer_revisions;
    // Last successful probe of servers of other failure domains.
    std::map<std::string, base::time_point> m_last_reachable;
    // By sender: servers that are leaving according to the instance list as that sender last read it.
    std::map<std::string, std::set<std::string>> m_draining_by_sender;
    // When the lists of senders that no longer report the list expire.
    std::map<std::string, base::time_point> m_list_expiry_by_sender;
    std::set<std::string> m_applied_list_draining;
    std::map<service_and_region, std::deque<std::pair<base::time_point, double>>> m_rate_samples;
    std::set<service_and_region> m_known_rates; // (service, region) with a rate measured since the start
    std::vector<wire::member_record> m_link_targets;
    store_watch m_store_watch = store_watch::off;
};

} // namespace carawayway::engine
