// The data path of an entry instance: admission, placement, attempts, retries and responses. It performs no
// I/O: events and the current time are passed in, and the actions to take are returned as effects.
#pragma once

#include "carawayway/engine/compiled_policy.hpp"
#include "carawayway/engine/effect.hpp"
#include "carawayway/engine/local_service.hpp"
#include "carawayway/engine/peer_view.hpp"
#include "carawayway/engine/pending_call.hpp"
#include "carawayway/engine/server_result.hpp"
#include "carawayway/metrics/metric_registry.hpp"
#include "carawayway/requests/request_registry.hpp"
#include "carawayway/shifting/shift_limiter.hpp"
#include "carawayway/steering/crash_guard.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace carawayway::engine {

struct engine_identity {
    std::string name;
    std::string failure_domain;
    std::string region;
    std::uint64_t incarnation = 0;
    base::time_point started;
};

struct engine_limits {
    std::size_t request_table = 200000; // largest number of records of non-idempotent requests
    base::duration id_acceptance = std::chrono::seconds(60);
    // After acceptance ends; longer than the longest timeout.
    base::duration id_retention = std::chrono::seconds(60);
    std::size_t max_calls = 20000;  // largest number of requests in progress
    std::uint32_t max_attempts = 4; // how often one request may be sent to a server or peer
    // An attempt at a non-idempotent request may exceed its deadline by this.
    base::duration attempt_grace = std::chrono::milliseconds(250);

    bool operator==(const engine_limits&) const = default;
};

// Whether new requests are admitted.
enum class admission_state : std::uint8_t { open, closed };

// Whether callers get prefixes for new request IDs. None are issued while stopping, since the incarnation
// would end before callers stop using them.
enum class id_issuance : std::uint8_t { running, stopped };

// Whether a lost message may have reached the peer.
enum class loss_evidence : std::uint8_t { never_sent, may_have_arrived };

class request_engine {
public:
    // `seed` determines all random choices. `metrics` must outlive the engine.
    request_engine(engine_identity identity, engine_limits limits, std::uint64_t seed,
                   metrics::metric_registry& metrics);

    // Configuration and ownership.
    void set_policy(std::shared_ptr<const compiled_policy> policy, std::uint32_t receiving_entries,
                    base::time_point now, effects& out);
    void set_receiving_entries(std::uint32_t count, base::time_point now);
    void set_reference_rate(const shifting::shift_key& key, double requests_per_second, base::time_point now);
    // `served_elsewhere` is how long another entry instance has been using the server. It shortens the
    // warm-up, since the caches of the server have been warming up for that long.
    void server_owned(const std::string& server, base::duration served_elsewhere, base::time_point now,
                      effects& out);
    void server_not_owned(const std::string& server, base::time_point now);
    void server_draining(const std::string& server, wire::drain_evidence evidence, base::time_point now);
    void server_not_draining(const std::string& server, wire::drain_evidence evidence, base::time_point now,
                             effects& out);
    // Attempts that start from now on must not be written after `until`, the end of the confirmed ownership.
    void set_dispatch_permission(base::time_point until) { m_dispatch_until = until; }
    void set_admission(admission_state state) { m_admission = state; }
    void set_id_issuance(id_issuance state) { m_id_issuance = state; }
    bool is_non_idempotent(const std::string& service) const;

    // Callers.
    void caller_request(std::uint64_t token, request_ptr request, base::time_point now, effects& out);
    void caller_left(std::uint64_t token, base::time_point now, effects& out);
    // Empty if no IDs are issued.
    std::string issue_prefix(base::time_point now);
    base::duration acceptance_left(base::time_point now) const { return m_registry.acceptance_left(now); }

    // Backend servers.
    void attempt_finished(std::uint64_t attempt, server_result result, base::time_point now, effects& out);

    // Peers.
    void peer_request(const std::string& entry, std::uint64_t call, wire::request request,
                      placement_scope scope, base::time_point now, effects& out);
    void peer_result(const std::string& entry, std::uint64_t call, wire::outcome result, base::time_point now,
                     effects& out);
    void peer_cancel(const std::string& entry, std::uint64_t call, base::time_point now, effects& out);
    void peer_call_lost(const std::string& entry, std::uint64_t call, loss_evidence evidence,
                        base::time_point now, effects& out);
    // Sends queued requests to peers of their home region that have free slots. Called when a summary
    // arrives.
    void send_queued_to_peers(base::time_point now, effects& out);
    void merge_strike(const wire::strike& record, base::time_point now);
    void clear_strike(const wire::strike_cleared& record);
    // All strikes known here, for a peer that may have missed some.
    std::vector<wire::strike> strikes(base::time_point now) const;
    peer_view& peers() { return m_peers; }
    const peer_view& peers() const { return m_peers; }

    // Handles deadlines, queues and expiry. Has to be called every few milliseconds.
    void tick(base::time_point now, effects& out);

    // Reports.
    wire::entry_summary summary(base::time_point now);
    std::uint32_t usable_slots(const std::string& service, base::time_point now) const;
    std::uint32_t in_flight(const std::string& server) const;
    std::size_t calls() const { return m_calls.size(); }
    std::vector<shifting::shift_status> shift_status(base::time_point now) const {
        return m_shifts.status(now);
    }
    const std::map<std::string, std::unique_ptr<local_service>>& local_services() const {
        return m_local_services;
    }
    const compiled_policy* policy() const { return m_policy.get(); }
    // Servers that reported in a response since the last call that they are leaving.
    std::vector<std::string> take_draining_servers();
    void update_gauges(base::time_point now);

private:
    using call_map = std::unordered_map<std::uint64_t, pending_call>;
    using waiter_map = std::unordered_map<std::uint64_t, waiter>;

    enum class deadline_kind : std::uint8_t {
        waiter, // the waiter's deadline
        call,   // the time by which a peer that handles the call must have responded
    };

    struct deadline_entry {
        base::time_point time;
        deadline_kind kind = deadline_kind::waiter;
        std::uint64_t number = 0; // number of the waiter or call
        bool operator>(const deadline_entry& other) const { return time > other.time; }
    };

    // Whether the loss of the attempt's server has already been recorded for the attempt's content.
    enum class loss_record : std::uint8_t { none, recorded };

    // An attempt at an own server. It may outlive its call, because the server's slot stays in use until the
    // attempt has ended.
    struct running_attempt {
        std::uint64_t call = 0;
        std::string service;
        std::string server;
        steering::server_handle handle;
        std::uint64_t fingerprint = 0;
        steering::isolation isolation = steering::isolation::shared;
        base::time_point started;
        loss_record loss = loss_record::none;
    };

    // Why a request could not be placed; becomes its error response.
    struct refusal_reason {
        base::error_kind kind = base::error_kind::no_server_available;
        std::string detail;
        base::duration retry_after{};
    };

    // request_admission.cpp
    void admit(request_origin origin, request_ptr request, std::string home_region, placement_scope scope,
               base::time_point now, effects& out);
    void admit_non_idempotent(std::uint64_t waiter_number, const request_ptr& request, pending_call prepared,
                              base::time_point now, effects& out);
    void forward_to_owner(pending_call call, const requests::request_id& id, base::time_point now,
                          effects& out);
    std::uint64_t add_waiter(waiter item);
    void refuse_waiter(std::uint64_t waiter_number, base::error_kind kind, std::string detail,
                       base::duration retry_after, base::time_point now, effects& out);
    void respond_to_waiter(std::uint64_t waiter_number, response_ptr response, base::time_point now,
                           effects& out);
    void refuse_before_admission(const request_origin& origin, const service_request& request,
                                 placement_scope scope, base::error_kind kind, std::string detail,
                                 base::time_point now, effects& out);
    void send_response(const request_origin& origin, response_ptr response, effects& out);
    void expire_waiter(std::uint64_t waiter_number, base::time_point now, effects& out);
    void expire_call(std::uint64_t call_number, base::time_point now, effects& out);
    void drop_waiter(std::uint64_t waiter_number, base::time_point now, effects& out);

    // request_placement.cpp
    void place(pending_call& call, base::time_point now, effects& out);
    bool send_to_recorder(pending_call& call, base::time_point now, effects& out);
    bool apply_crash_guard(pending_call& call, base::time_point now, effects& out);
    void place_isolated(pending_call& call, local_service* local, base::time_point now, effects& out);
    bool try_local(pending_call& call, local_service* local, base::time_point now, effects& out);
    bool try_queue(pending_call& call, local_service* local, refusal_reason& reason, base::time_point now);
    bool try_peers(pending_call& call, shifting::region_crossing crossing, refusal_reason& reason,
                   base::time_point now, effects& out);
    bool try_take_move_allowance(const pending_call& call, refusal_reason& reason, base::time_point now);
    bool prefers_queue(const pending_call& call, const local_service* local, base::time_point now) const;
    bool is_in_home_region(const pending_call& call) const;
    void dispatch(pending_call& call, local_service& local, steering::server_handle handle,
                  steering::isolation mode, base::time_point now, effects& out);
    void send_call(pending_call& call, const std::string& entry, call_stage stage, base::time_point now,
                   effects& out);
    base::duration retry_after_for(const pending_call& call, base::time_point now) const;
    base::duration attempt_timeout(const pending_call& call, const local_service& local,
                                   base::time_point now) const;
    void dispatch_queued(local_service& local, base::time_point now, effects& out);

    // request_outcomes.cpp
    void finish(std::uint64_t call_number, service_response response, base::time_point now, effects& out);
    void finish_with_error(std::uint64_t call_number, base::error_kind kind, std::string detail,
                           base::duration retry_after, base::time_point now, effects& out);
    void handle_not_executed(pending_call& call, base::error_kind kind, base::duration retry_after,
                             base::time_point now, effects& out);
    void handle_unknown_outcome(pending_call& call, base::error_kind kind, base::time_point now,
                                effects& out);
    void record_attempt_result(const running_attempt& attempt, const server_result& result,
                               base::time_point now, effects& out);
    void record_server_loss(const running_attempt& attempt, base::time_point now, effects& out);
    void record_server_survival(const running_attempt& attempt, base::time_point now, effects& out);
    void handle_attempt_result(pending_call& call, std::string server, server_result result,
                               base::time_point now, effects& out);
    void end_peer_call(pending_call& call, slot_after_call slot);
    void cancel_work(pending_call& call, effects& out);
    bool may_retry(const pending_call& call, base::time_point now);

    local_service* find_local_service(const std::string& service);
    const local_service* find_local_service(const std::string& service) const;
    pending_call* find_call(std::uint64_t number);
    void declare_metrics();

    engine_identity m_identity;
    engine_limits m_limits;
    std::mt19937_64 m_random;
    metrics::metric_registry& m_metrics;
    std::shared_ptr<const compiled_policy> m_policy; // null until the first policy is in force
    std::map<std::string, std::unique_ptr<local_service>> m_local_services;
    requests::request_registry<response_ptr> m_registry;
    steering::crash_guard m_guard;
    shifting::shift_limiter m_shifts;
    peer_view m_peers;
    admission_state m_admission = admission_state::open;
    id_issuance m_id_issuance = id_issuance::running;
    base::time_point m_dispatch_until = base::time_point::max();

    // Every waiter belongs either to one call or to one record of the registry.
    call_map m_calls;
    waiter_map m_waiters;
    std::unordered_map<std::uint64_t, std::uint64_t> m_waiter_by_token; // by the caller's token
    std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> m_waiter_by_peer_call;
    std::unordered_map<std::uint64_t, running_attempt> m_attempts;
    std::priority_queue<deadline_entry, std::vector<deadline_entry>, std::greater<>> m_deadlines;
    // Requests by (service, home region) since m_arrivals_since.
    std::map<std::pair<std::string, std::string>, std::uint64_t> m_arrivals;
    // Rates by service in the interval before m_arrivals_since.
    std::map<std::string, std::vector<wire::home_rate>> m_home_rates;
    base::time_point m_arrivals_since;
    std::vector<std::string> m_newly_draining_servers;
    // Calls, waiters and attempts share one sequence of numbers. Each incarnation starts it at a different
    // value, so that a peer's result for a call of the previous incarnation does not match a call of this
    // one.
    std::uint64_t m_last_number;
};

} // namespace carawayway::engine
