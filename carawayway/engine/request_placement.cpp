// Placement: sends a request to an own server or a peer, queues it, or refuses it.
#include "carawayway/engine/peer_conversion.hpp"
#include "carawayway/engine/request_engine.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace carawayway::engine {

namespace {

constexpr auto retry_after_no_server = std::chrono::seconds(1);
constexpr auto retry_after_isolation = std::chrono::milliseconds(200);
constexpr auto minimum_attempt_timeout = std::chrono::milliseconds(20);
constexpr double attempt_timeout_share = 0.6; // of the remaining time, if another attempt may follow
constexpr int attempt_latency_factor = 6;     // lower bound of an attempt, in typical latencies

} // namespace

bool request_engine::is_in_home_region(const pending_call& call) const {
    return call.home_region.empty() || call.home_region == m_identity.region;
}

void request_engine::place(pending_call& call, base::time_point now, effects& out) {
    call.stage = call_stage::placing;
    if (now >= call.deadline) {
        finish_with_error(call.number, base::error_kind::deadline_exceeded_before_dispatch, "",
                          retry_after_for(call, now), now, out);
        return;
    }
    if (m_policy->find_service(call.request->service) == nullptr) {
        // A new policy removed the service while the request was in progress.
        finish_with_error(call.number, base::error_kind::service_unknown, call.request->service, {}, now,
                          out);
        return;
    }
    if (apply_crash_guard(call, now, out)) {
        return;
    }
    auto* local = find_local_service(call.request->service);
    if (m_guard.check(call.fingerprint, now) == steering::guard_verdict::run_isolated) {
        place_isolated(call, local, now, out);
        return;
    }
    refusal_reason reason;
    reason.retry_after = retry_after_no_server;
    const bool in_home_region = is_in_home_region(call);
    if (call.scope == placement_scope::local_only) {
        if (try_local(call, local, now, out) || try_queue(call, local, reason, now)) {
            return;
        }
        finish_with_error(call.number, base::error_kind::peer_refused, reason.detail, reason.retry_after, now,
                          out);
        return;
    }
    // Own servers are the last choice if all of them fail: callers would see nothing but errors. Peers are
    // also tried first if an own server did not respond to this call.
    const bool local_healthy = in_home_region && local->pool.is_healthy(now);
    const bool local_first = local_healthy && !call.own_server_failed;
    if (local_first && try_local(call, local, now, out)) {
        return;
    }
    if (try_peers(call, shifting::region_crossing::serves_home_region, reason, now, out)) {
        return;
    }
    if (local_healthy && !local_first && try_local(call, local, now, out)) {
        return;
    }
    if (local_healthy && prefers_queue(call, local, now) && try_queue(call, local, reason, now)) {
        return;
    }
    if (!in_home_region && local->pool.free_slots(now) > 0 && try_take_move_allowance(call, reason, now) &&
        try_local(call, local, now, out)) {
        return;
    }
    if (try_peers(call, shifting::region_crossing::leaves_home_region, reason, now, out)) {
        return;
    }
    if (in_home_region && !local_healthy && try_local(call, local, now, out)) {
        return;
    }
    if (in_home_region && try_queue(call, local, reason, now)) {
        return;
    }
    finish_with_error(call.number, reason.kind, reason.detail, reason.retry_after, now, out);
}

bool request_engine::apply_crash_guard(pending_call& call, base::time_point now, effects& out) {
    switch (m_guard.check(call.fingerprint, now)) {
    case steering::guard_verdict::clear:
    case steering::guard_verdict::run_isolated:
        return false;
    case steering::guard_verdict::refuse_recorded_by_peer:
        if (send_to_recorder(call, now, out)) {
            return true;
        }
        break;
    case steering::guard_verdict::refuse_quarantined:
    case steering::guard_verdict::refuse_busy:
        break;
    }
    finish_with_error(call.number, base::error_kind::request_quarantined,
                      "a request with this content crashed a backend server",
                      m_guard.retry_after(call.fingerprint, now), now, out);
    return true;
}

// Suspect content may be harmless. Only the entry instance that recorded it may run it, in isolation; if the
// server survives, the content is cleared.
bool request_engine::send_to_recorder(pending_call& call, base::time_point now, effects& out) {
    const std::string recorder = m_guard.recorder(call.fingerprint, now);
    const bool usable = call.scope == placement_scope::anywhere && call.attempts < m_limits.max_attempts &&
                        m_peers.is_linked(recorder) &&
                        m_peers.has_capacity(recorder, wire_size(*call.request));
    if (!usable) {
        return false;
    }
    refusal_reason unused_reason;
    const bool leaves_home = !call.home_region.empty() && m_peers.region_of(recorder) != call.home_region;
    if (leaves_home && !try_take_move_allowance(call, unused_reason, now)) {
        return false;
    }
    send_call(call, recorder, call_stage::at_peer, now, out);
    return true;
}

void request_engine::place_isolated(pending_call& call, local_service* local, base::time_point now,
                                    effects& out) {
    refusal_reason reason;
    reason.kind = base::error_kind::overloaded;
    reason.detail = "no idle server to run the suspect request in isolation";
    reason.retry_after = retry_after_isolation;
    const bool moves = call.scope == placement_scope::anywhere && !is_in_home_region(call);
    if (moves && !try_take_move_allowance(call, reason, now)) {
        finish_with_error(call.number, reason.kind, reason.detail, reason.retry_after, now, out);
        return;
    }
    const auto handle = local->pool.reserve_idle(now);
    if (!handle) {
        finish_with_error(call.number, reason.kind, reason.detail, reason.retry_after, now, out);
        return;
    }
    m_guard.begin_isolated_run(call.fingerprint);
    dispatch(call, *local, *handle, steering::isolation::isolated, now, out);
}

bool request_engine::try_local(pending_call& call, local_service* local, base::time_point now, effects& out) {
    const auto handle = local->pool.reserve(now);
    if (!handle) {
        return false;
    }
    dispatch(call, *local, *handle, steering::isolation::shared, now, out);
    return true;
}

// Whether to wait in the own queue rather than go to another region: the expected wait is at most the
// shortest round trip there.
bool request_engine::prefers_queue(const pending_call& call, const local_service* local,
                                   base::time_point now) const {
    const auto wait = local->queue.estimated_wait(call.deadline, local->pool.usable_slots(now),
                                                  local->pool.typical_latency(), now);
    base::duration shortest_trip = base::duration::max();
    for (const auto& peer : m_peers.summaries(call.request->service, now)) {
        if (peer.region != m_identity.region) {
            shortest_trip = std::min(shortest_trip, peer.round_trip);
        }
    }
    return wait && *wait <= shortest_trip;
}

bool request_engine::try_queue(pending_call& call, local_service* local, refusal_reason& reason,
                               base::time_point now) {
    const std::uint32_t usable = local->pool.usable_slots(now);
    if (usable == 0) {
        return false;
    }
    const auto admitted = local->queue.offer({call.number, call.deadline, now}, usable,
                                             local->pool.typical_latency(), now, local->pool.tail_latency());
    if (admitted.verdict == steering::admission_verdict::queued) {
        call.stage = call_stage::queued;
        return true;
    }
    const bool full = admitted.verdict == steering::admission_verdict::refused_full;
    reason.kind = full ? base::error_kind::overloaded : base::error_kind::deadline_unreachable;
    reason.detail = full ? "queue full" : "the request cannot finish within the remaining time";
    reason.retry_after = admitted.retry_after;
    return false;
}

// Returns whether the shift cap allows to move the request, and if so takes the allowance for it.
bool request_engine::try_take_move_allowance(const pending_call& call, refusal_reason& reason,
                                             base::time_point now) {
    const shifting::shift_key key{call.request->service, call.home_region};
    if (m_shifts.try_move(key, now)) {
        m_metrics.add("carawayway_moved_requests_total",
                      {{"service", key.service}, {"home", key.home_region}});
        return true;
    }
    reason.kind = base::error_kind::shift_cap_reached;
    reason.detail = "the shift cap for traffic from " + call.home_region + " is reached";
    reason.retry_after = m_shifts.retry_after(key, now);
    return false;
}

bool request_engine::try_peers(pending_call& call, shifting::region_crossing crossing, refusal_reason& reason,
                               base::time_point now, effects& out) {
    if (call.attempts >= m_limits.max_attempts) {
        return false;
    }
    const auto& service = call.request->service;
    const auto summaries = m_peers.summaries(service, now);
    const auto* local = find_local_service(service);
    shifting::selector_limits limits;
    limits.typical_latency = local->typical_latency();
    const std::string home = call.home_region.empty() ? m_identity.region : call.home_region;
    const shifting::spill_over_request query{m_identity.failure_domain, m_identity.region, home,
                                             m_policy->find_service(service)->regions, call.deadline - now};
    const std::size_t size = wire_size(*call.request);
    for (const auto& candidate : shifting::spill_over_order(query, summaries, limits, m_random)) {
        const bool asked = std::find(call.refused_peers.begin(), call.refused_peers.end(), candidate.entry) !=
                           call.refused_peers.end();
        if (candidate.crossing != crossing || asked || !m_peers.has_capacity(candidate.entry, size)) {
            continue;
        }
        if (crossing == shifting::region_crossing::leaves_home_region && !call.home_region.empty() &&
            !try_take_move_allowance(call, reason, now)) {
            return false;
        }
        send_call(call, candidate.entry, call_stage::at_peer, now, out);
        return true;
    }
    return false;
}

// Free slots of peers are used as soon as they are known, since an own slot may not become free for a whole
// service time.
void request_engine::send_queued_to_peers(base::time_point now, effects& out) {
    for (auto& [name, local] : m_local_services) {
        if (m_policy->find_service(name) == nullptr) {
            continue; // removed by a policy
        }
        const auto waiting = local->queue.waiting(); // a copy, since the loop changes the queue
        for (const auto& item : waiting) {
            auto* call = find_call(item.token);
            assert(call != nullptr);
            const bool must_stay = call->scope == placement_scope::local_only ||
                                   call->attempts >= m_limits.max_attempts ||
                                   m_guard.check(call->fingerprint, now) != steering::guard_verdict::clear;
            if (must_stay) {
                continue;
            }
            refusal_reason unused_reason;
            if (!try_peers(*call, shifting::region_crossing::serves_home_region, unused_reason, now, out)) {
                break;
            }
            local->queue.erase(item.token);
        }
    }
}

void request_engine::send_call(pending_call& call, const std::string& entry, call_stage stage,
                               base::time_point now, effects& out) {
    if (stage == call_stage::at_peer && call.id && call.attempts == 0) {
        const bool first = m_registry.try_mark_dispatched(*call.id);
        assert(first);
        static_cast<void>(first);
    }
    ++call.attempts;
    call.stage = stage;
    call.peer = entry;
    m_peers.call_started(entry, call.request->service, wire_size(*call.request));
    // The response has to arrive here before the deadline.
    const base::duration remaining = std::max<base::duration>(call.deadline - now - m_peers.round_trip(entry),
                                                              std::chrono::milliseconds(1));
    auto request = to_wire(call, remaining);
    wire::peer_message message;
    if (stage == call_stage::at_peer) {
        message = wire::execute_request{call.number, std::move(request)};
    } else {
        message = wire::forward_request{call.number, std::move(request)};
    }
    out.emplace_back(send_to_peer{entry, std::move(message), call.number});
}

// Timeout of the next attempt. An idempotent request that can be retried reserves time for another attempt.
base::duration request_engine::attempt_timeout(const pending_call& call, const local_service& local,
                                               base::time_point now) const {
    const base::duration remaining = call.deadline - now;
    const bool last = call.semantics == config::request_semantics::non_idempotent ||
                      call.attempts + 1 >= m_limits.max_attempts || local.retries.available(now) < 1.0;
    if (last) {
        return remaining;
    }
    const auto share = std::chrono::duration_cast<base::duration>(remaining * attempt_timeout_share);
    const base::duration wanted = std::max(share, attempt_latency_factor * local.typical_latency());
    return std::min(remaining, std::max<base::duration>(wanted, minimum_attempt_timeout));
}

void request_engine::dispatch(pending_call& call, local_service& local, steering::server_handle handle,
                              steering::isolation mode, base::time_point now, effects& out) {
    if (call.id && call.attempts == 0) {
        const bool first = m_registry.try_mark_dispatched(*call.id);
        assert(first);
        static_cast<void>(first);
    }
    ++call.attempts;
    call.stage = call_stage::at_server;
    call.attempt = ++m_last_number;
    call.server = local.pool.name(handle);
    m_attempts.emplace(call.attempt, running_attempt{call.number, local.name, call.server, handle,
                                                     call.fingerprint, mode, now});
    const auto* server = m_policy->find_server(call.server);
    const base::duration server_timeout = attempt_timeout(call, local, now);
    base::duration timeout = server_timeout;
    if (call.semantics == config::request_semantics::non_idempotent) {
        // A late response still tells the outcome, a closed connection does not.
        timeout += m_limits.attempt_grace;
    }
    std::string request_id = call.request->request_id;
    if (request_id.empty()) {
        request_id = m_identity.name + "-" + std::to_string(m_identity.incarnation % 1000000) + "-" +
                     std::to_string(call.attempt);
    }
    m_metrics.observe("carawayway_queue_wait_seconds", {{"service", local.name}}, now - call.arrived);
    out.emplace_back(start_attempt{call.attempt, call.server, server == nullptr ? "" : server->address,
                                   std::move(request_id), call.request, server_timeout, timeout,
                                   m_dispatch_until});
}

// Retry advice for a caller whose deadline has passed.
base::duration request_engine::retry_after_for(const pending_call& call, base::time_point now) const {
    const auto* local = find_local_service(call.request->service);
    return local->queue.retry_after(call.number, local->pool.usable_slots(now), local->pool.typical_latency(),
                                    now);
}

void request_engine::dispatch_queued(local_service& local, base::time_point now, effects& out) {
    const base::duration needed = local.minimum_remaining_time();
    for (const auto& expired : local.queue.take_expired(now, needed)) {
        finish_with_error(expired.token, base::error_kind::deadline_exceeded_before_dispatch,
                          "not enough time left for a dispatch",
                          retry_after_for(m_calls.at(expired.token), now), now, out);
    }
    while (local.queue.size() > 0 && local.pool.free_slots(now) > 0) {
        const auto next = local.queue.take(now, needed);
        if (!next) {
            return;
        }
        auto* call = find_call(next->token);
        assert(call != nullptr);
        if (m_guard.check(call->fingerprint, now) != steering::guard_verdict::clear) {
            place(*call, now, out);
            continue;
        }
        const auto handle = local.pool.reserve(now);
        if (!handle) {
            place(*call, now, out);
            return;
        }
        dispatch(*call, local, *handle, steering::isolation::shared, now, out);
    }
}

} // namespace carawayway::engine
