// The data path of an entry instance: admission, placement, attempts, retries and answers. Pure: events and
// the time come in through calls, what is to be done goes out as effects.
#pragma once

#include "carawayway/engine/compiled_policy.hpp"
#include "carawayway/engine/effect.hpp"
#include "carawayway/engine/peer_view.hpp"
#include "carawayway/engine/pending_call.hpp"
#include "carawayway/engine/server_result.hpp"
#include "carawayway/engine/service_lane.hpp"
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
    std::size_t request_table = 200000; // records of non-idempotent requests
    base::duration id_acceptance = std::chrono::seconds(60);
    base::duration id_retention = std::chrono::seconds(60); // after acceptance; above the longest timeout
    std::size_t calls = 20000;                              // requests inside the entry instance at one time
    std::uint32_t placements = 4; // times one request may be sent to a server or peer
    base::duration grace = std::chrono::milliseconds(250); // an attempt may outlive its deadline by this

    bool operator==(const engine_limits&) const = default;
};

// Whether requests from callers are taken.
enum class intake : std::uint8_t { open, closed };

// Whether callers get prefixes for new request IDs. Not while stopping: the incarnation would be gone before
// they are used up.
enum class id_issue : std::uint8_t { running, stopped };

// Whether a lost message can have reached the peer.
enum class loss_evidence : std::uint8_t { never_sent, may_have_arrived };

class request_engine {
public:
    // `seed` feeds all random choices; `metrics` outlives the engine.
    request_engine(engine_identity identity, engine_limits limits, std::uint64_t seed,
                   metrics::metric_registry& metrics);

    // Configuration and ownership.
    void set_policy(std::shared_ptr<const compiled_policy> policy, std::uint32_t receiving_entries,
                    base::time_point now, effects& out);
    void set_receiving_entries(std::uint32_t count, base::time_point now);
    void set_reference_rate(const shifting::shift_key& key, double requests_per_second, base::time_point now);
    // `served_elsewhere` is the time for which another entry instance had the server: its caches are warm for
    // as long.
    void server_owned(const std::string& server, base::duration served_elsewhere, base::time_point now,
                      effects& out);
    void server_not_owned(const std::string& server, base::time_point now);
    void server_draining(const std::string& server, wire::drain_evidence evidence, base::time_point now);
    void server_not_draining(const std::string& server, wire::drain_evidence evidence, base::time_point now,
                             effects& out);
    // Attempts decided from now on must not be written after this time: until then the ownership is certain.
    void set_dispatch_permission(base::time_point until) { m_dispatch_until = until; }
    void set_intake(intake state) { m_intake = state; }
    void set_id_issue(id_issue state) { m_id_issue = state; }
    bool is_non_idempotent(const std::string& service) const;

    // Callers.
    void caller_request(std::uint64_t token, request_ptr request, base::time_point now, effects& out);
    void caller_left(std::uint64_t token, base::time_point now, effects& out);
    // Empty when no IDs are issued.
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
    // The view of the peers' room has changed: requests that wait here may go to a peer of their home region.
    void pass_on_waiting(base::time_point now, effects& out);
    void merge_strike(const wire::strike& record, base::time_point now);
    void clear_strike(const wire::strike_cleared& record);
    // All strikes known here, for a peer that may have missed them.
    std::vector<wire::strike> strikes(base::time_point now) const;
    peer_view& peers() { return m_peers; }
    const peer_view& peers() const { return m_peers; }

    // To be called often: deadlines, queues and expiry.
    void tick(base::time_point now, effects& out);

    // Reports.
    wire::entry_summary summary(base::time_point now);
    std::uint32_t usable_slots(const std::string& service, base::time_point now) const;
    std::uint32_t in_flight(const std::string& server) const;
    std::size_t calls() const { return m_calls.size(); }
    std::vector<shifting::shift_status> shift_status(base::time_point now) const {
        return m_shifts.status(now);
    }
    const std::map<std::string, std::unique_ptr<service_lane>>& lanes() const { return m_lanes; }
    const compiled_policy* policy() const { return m_policy.get(); }
    // Servers that said themselves that they are leaving, since the last call.
    std::vector<std::string> take_drain_evidence();
    void update_gauges(base::time_point now);

private:
    using call_map = std::unordered_map<std::uint64_t, pending_call>;
    using waiter_map = std::unordered_map<std::uint64_t, waiter>;

    enum class deadline_kind : std::uint8_t {
        waiter, // the waiter's time is over
        call,   // nothing more is to be expected from the peer that the call was passed to
    };

    struct deadline_entry {
        base::time_point time;
        deadline_kind kind = deadline_kind::waiter;
        std::uint64_t number = 0; // of the waiter or call
        bool operator>(const deadline_entry& other) const { return time > other.time; }
    };

    // Whether the loss of the server that an attempt runs on was already held against its content.
    enum class loss_record : std::uint8_t { none, recorded };

    // One attempt at an own server. It outlives its call when the call is answered first, because the
    // server's slot is free only when the attempt has ended.
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

    // Why a request could not be placed; turned into its refusal.
    struct refusal_reason {
        base::error_kind kind = base::error_kind::no_server_available;
        std::string detail;
        base::duration retry_after{};
    };

    // request_intake.cpp
    void admit(request_origin origin, request_ptr request, std::string home_region, placement_scope scope,
               base::time_point now, effects& out);
    void admit_once(std::uint64_t waiter_number, const request_ptr& request, pending_call prepared,
                    base::time_point now, effects& out);
    void forward_to_owner(pending_call call, const requests::request_id& id, base::time_point now,
                          effects& out);
    std::uint64_t add_waiter(waiter item);
    void refuse_waiter(std::uint64_t waiter_number, base::error_kind kind, std::string detail,
                       base::duration retry_after, base::time_point now, effects& out);
    void answer_waiter(std::uint64_t waiter_number, response_ptr answer, base::time_point now, effects& out);
    void refuse_unadmitted(const request_origin& origin, const service_request& request,
                           placement_scope scope, base::error_kind kind, std::string detail,
                           base::time_point now, effects& out);
    void send_answer(const request_origin& origin, response_ptr answer, effects& out);
    void expire_waiter(std::uint64_t waiter_number, base::time_point now, effects& out);
    void expire_call(std::uint64_t call_number, base::time_point now, effects& out);
    void abandon(std::uint64_t waiter_number, base::time_point now, effects& out);

    // request_placement.cpp
    void place(pending_call& call, base::time_point now, effects& out);
    bool send_to_recorder(pending_call& call, base::time_point now, effects& out);
    bool refuse_by_guard(pending_call& call, base::time_point now, effects& out);
    void place_isolated(pending_call& call, service_lane* lane, base::time_point now, effects& out);
    bool try_local(pending_call& call, service_lane* lane, base::time_point now, effects& out);
    bool try_queue(pending_call& call, service_lane* lane, refusal_reason& reason, base::time_point now);
    bool try_peers(pending_call& call, shifting::region_crossing crossing, refusal_reason& reason,
                   base::time_point now, effects& out);
    bool may_move(const pending_call& call, refusal_reason& reason, base::time_point now);
    bool prefers_queue(const pending_call& call, const service_lane* lane, base::time_point now) const;
    bool serves_home(const pending_call& call) const;
    void dispatch(pending_call& call, service_lane& lane, steering::server_handle handle,
                  steering::isolation mode, base::time_point now, effects& out);
    void send_call(pending_call& call, const std::string& entry, call_stage stage, base::time_point now,
                   effects& out);
    base::duration retry_advice_of(const pending_call& call, base::time_point now) const;
    base::duration attempt_time(const pending_call& call, const service_lane& lane,
                                base::time_point now) const;
    void pump(service_lane& lane, base::time_point now, effects& out);

    // request_outcomes.cpp
    void finish(std::uint64_t call_number, service_response answer, base::time_point now, effects& out);
    void finish_error(std::uint64_t call_number, base::error_kind kind, std::string detail,
                      base::duration retry_after, base::time_point now, effects& out);
    void not_run(pending_call& call, base::error_kind kind, base::duration retry_after, base::time_point now,
                 effects& out);
    void may_have_run(pending_call& call, base::error_kind kind, base::time_point now, effects& out);
    void settle_attempt(const running_attempt& attempt, const server_result& result, base::time_point now,
                        effects& out);
    void record_loss(const running_attempt& attempt, base::time_point now, effects& out);
    void record_survival(const running_attempt& attempt, base::time_point now, effects& out);
    void complete_call(pending_call& call, std::string server, server_result result, base::time_point now,
                       effects& out);
    void leave_peer(pending_call& call, room_after_call room);
    void cancel_work(pending_call& call, effects& out);
    bool may_retry(const pending_call& call, base::time_point now);

    service_lane* find_lane(const std::string& service);
    const service_lane* find_lane(const std::string& service) const;
    pending_call* find_call(std::uint64_t number);
    void declare_metrics();

    engine_identity m_identity;
    engine_limits m_limits;
    std::mt19937_64 m_random;
    metrics::metric_registry& m_metrics;
    std::shared_ptr<const compiled_policy> m_policy; // none until the first policy is in force
    std::map<std::string, std::unique_ptr<service_lane>> m_lanes;
    requests::request_registry<response_ptr> m_registry;
    steering::crash_guard m_guard;
    shifting::shift_limiter m_shifts;
    peer_view m_peers;
    intake m_intake = intake::open;
    id_issue m_id_issue = id_issue::running;
    base::time_point m_dispatch_until = base::time_point::max();

    // Every waiter belongs to exactly one call or to one record of the registry.
    call_map m_calls;
    waiter_map m_waiters;
    std::unordered_map<std::uint64_t, std::uint64_t> m_waiter_by_token; // caller token to waiter
    std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> m_waiter_by_peer_call;
    std::unordered_map<std::uint64_t, running_attempt> m_attempts;
    std::priority_queue<deadline_entry, std::vector<deadline_entry>, std::greater<>> m_deadlines;
    std::map<std::pair<std::string, std::string>, std::uint64_t>
        m_arrivals; // (service, home) since m_arrivals_since
    std::map<std::string, std::vector<wire::home_rate>> m_home_rates; // by service, before m_arrivals_since
    base::time_point m_arrivals_since;
    std::vector<std::string> m_drain_evidence;
    // Calls, waiters and attempts share one sequence. It starts at a place of its own in each incarnation: a
    // peer's result for a call of the incarnation before must not match a call of this one.
    std::uint64_t m_last_number;
};

} // namespace carawayway::engine
