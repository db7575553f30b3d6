// Where a request goes: own servers, a peer, the queue, or back to the caller at once.
#include "carawayway/engine/peer_conversion.hpp"
#include "carawayway/engine/request_engine.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace carawayway::engine {

namespace {

constexpr auto retry_after_no_server = std::chrono::seconds(1);
constexpr auto retry_after_isolation = std::chrono::milliseconds(200);
constexpr auto shortest_attempt = std::chrono::milliseconds(20);
constexpr double attempt_share = 0.6;     // of the remaining time, while another attempt may follow
constexpr int attempt_latency_factor = 6; // an attempt gets at least this multiple of the typical latency

} // namespace

bool request_engine::serves_home(const pending_call& call) const {
    return call.home_region.empty() || call.home_region == m_identity.region;
}

void request_engine::place(pending_call& call, base::time_point now, effects& out) {
    call.stage = call_stage::placing;
    if (now >= call.deadline) {
        finish_error(call.number, base::error_kind::deadline_exceeded_before_dispatch, "",
                     retry_advice_of(call, now), now, out);
        return;
    }
    if (m_policy->find_service(call.request->service) == nullptr) {
        // A policy removed the service while the request was on its way.
        finish_error(call.number, base::error_kind::service_unknown, call.request->service, {}, now, out);
        return;
    }
    if (refuse_by_guard(call, now, out)) {
        return;
    }
    auto* lane = find_lane(call.request->service);
    if (m_guard.check(call.fingerprint, now) == steering::guard_verdict::run_isolated) {
        place_isolated(call, lane, now, out);
        return;
    }
    refusal_reason reason;
    reason.retry_after = retry_after_no_server;
    const bool home = serves_home(call);
    if (call.scope == placement_scope::local_only) {
        if (try_local(call, lane, now, out) || try_queue(call, lane, reason, now)) {
            return;
        }
        finish_error(call.number, base::error_kind::peer_refused, reason.detail, reason.retry_after, now,
                     out);
        return;
    }
    // Own servers that all fail are the last choice, since their callers would see nothing but failures. So
    // is a second own server after one that gave no answer.
    const bool reliable = home && lane->pool.is_healthy(now);
    const bool local_first = reliable && !call.own_server_failed;
    if (local_first && try_local(call, lane, now, out)) {
        return;
    }
    if (try_peers(call, shifting::region_crossing::serves_home_region, reason, now, out)) {
        return;
    }
    if (reliable && !local_first && try_local(call, lane, now, out)) {
        return;
    }
    if (reliable && prefers_queue(call, lane, now) && try_queue(call, lane, reason, now)) {
        return;
    }
    if (!home && lane->pool.free_slots(now) > 0 && may_move(call, reason, now) &&
        try_local(call, lane, now, out)) {
        return;
    }
    if (try_peers(call, shifting::region_crossing::leaves_home_region, reason, now, out)) {
        return;
    }
    if (home && !reliable && try_local(call, lane, now, out)) {
        return;
    }
    if (home && try_queue(call, lane, reason, now)) {
        return;
    }
    finish_error(call.number, reason.kind, reason.detail, reason.retry_after, now, out);
}

bool request_engine::refuse_by_guard(pending_call& call, base::time_point now, effects& out) {
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
    finish_error(call.number, base::error_kind::request_quarantined,
                 "this content took a backend server down", m_guard.retry_after(call.fingerprint, now), now,
                 out);
    return true;
}

// Suspect content may be harmless: the entry instance that recorded it runs it alone and so clears it.
bool request_engine::send_to_recorder(pending_call& call, base::time_point now, effects& out) {
    const std::string recorder = m_guard.recorder(call.fingerprint, now);
    const bool usable = call.scope == placement_scope::anywhere && call.attempts < m_limits.placements &&
                        m_peers.linked(recorder) && m_peers.has_room(recorder, wire_size(*call.request));
    if (!usable) {
        return false;
    }
    refusal_reason ignored;
    const bool leaves_home = !call.home_region.empty() && m_peers.region_of(recorder) != call.home_region;
    if (leaves_home && !may_move(call, ignored, now)) {
        return false;
    }
    send_call(call, recorder, call_stage::at_peer, now, out);
    return true;
}

void request_engine::place_isolated(pending_call& call, service_lane* lane, base::time_point now,
                                    effects& out) {
    refusal_reason reason;
    reason.kind = base::error_kind::overloaded;
    reason.detail = "no idle server for an isolated run";
    reason.retry_after = retry_after_isolation;
    const bool moves = call.scope == placement_scope::anywhere && !serves_home(call);
    if (moves && !may_move(call, reason, now)) {
        finish_error(call.number, reason.kind, reason.detail, reason.retry_after, now, out);
        return;
    }
    const auto handle = lane->pool.reserve_idle(now);
    if (!handle) {
        finish_error(call.number, reason.kind, reason.detail, reason.retry_after, now, out);
        return;
    }
    m_guard.begin_isolated_run(call.fingerprint);
    dispatch(call, *lane, *handle, steering::isolation::isolated, now, out);
}

bool request_engine::try_local(pending_call& call, service_lane* lane, base::time_point now, effects& out) {
    const auto handle = lane->pool.reserve(now);
    if (!handle) {
        return false;
    }
    dispatch(call, *lane, *handle, steering::isolation::shared, now, out);
    return true;
}

// Waiting here is better than a trip to another region when it is shorter than that trip.
bool request_engine::prefers_queue(const pending_call& call, const service_lane* lane,
                                   base::time_point now) const {
    const auto wait = lane->queue.estimated_wait(call.deadline, lane->pool.usable_slots(now),
                                                 lane->pool.typical_latency(), now);
    base::duration shortest_trip = base::duration::max();
    for (const auto& peer : m_peers.summaries(call.request->service, now)) {
        if (peer.region != m_identity.region) {
            shortest_trip = std::min(shortest_trip, peer.round_trip);
        }
    }
    return wait && *wait <= shortest_trip;
}

bool request_engine::try_queue(pending_call& call, service_lane* lane, refusal_reason& reason,
                               base::time_point now) {
    const std::uint32_t usable = lane->pool.usable_slots(now);
    if (usable == 0) {
        return false;
    }
    const auto admitted = lane->queue.offer({call.number, call.deadline, now}, usable,
                                            lane->pool.typical_latency(), now, lane->pool.tail_latency());
    if (admitted.verdict == steering::admission_verdict::queued) {
        call.stage = call_stage::queued;
        return true;
    }
    const bool full = admitted.verdict == steering::admission_verdict::refused_full;
    reason.kind = full ? base::error_kind::overloaded : base::error_kind::deadline_unreachable;
    reason.detail = full ? "queue full" : "cannot finish within the remaining time";
    reason.retry_after = admitted.retry_after;
    return false;
}

// Consumes the allowance of one moved request when true.
bool request_engine::may_move(const pending_call& call, refusal_reason& reason, base::time_point now) {
    const shifting::shift_key key{call.request->service, call.home_region};
    if (m_shifts.try_move(key, now)) {
        m_metrics.add("carawayway_moved_requests_total",
                      {{"service", key.service}, {"home", key.home_region}});
        return true;
    }
    reason.kind = base::error_kind::shift_cap_reached;
    reason.detail = "traffic from " + call.home_region + " may not move further yet";
    reason.retry_after = m_shifts.retry_after(key, now);
    return false;
}

bool request_engine::try_peers(pending_call& call, shifting::region_crossing crossing, refusal_reason& reason,
                               base::time_point now, effects& out) {
    if (call.attempts >= m_limits.placements) {
        return false;
    }
    const auto& service = call.request->service;
    const auto summaries = m_peers.summaries(service, now);
    const auto* lane = find_lane(service);
    shifting::selector_limits limits;
    limits.typical_latency = lane->typical_latency();
    const std::string home = call.home_region.empty() ? m_identity.region : call.home_region;
    const shifting::spill_over_request query{m_identity.failure_domain, m_identity.region, home,
                                             m_policy->find_service(service)->regions, call.deadline - now};
    const std::size_t size = wire_size(*call.request);
    for (const auto& candidate : shifting::spill_over_order(query, summaries, limits, m_random)) {
        const bool asked = std::find(call.refused_peers.begin(), call.refused_peers.end(), candidate.entry) !=
                           call.refused_peers.end();
        if (candidate.crossing != crossing || asked || !m_peers.has_room(candidate.entry, size)) {
            continue;
        }
        if (crossing == shifting::region_crossing::leaves_home_region && !call.home_region.empty() &&
            !may_move(call, reason, now)) {
            return false;
        }
        send_call(call, candidate.entry, call_stage::at_peer, now, out);
        return true;
    }
    return false;
}

// Room at a peer is used as soon as it is known: a slot here may not become free for a whole service time.
void request_engine::pass_on_waiting(base::time_point now, effects& out) {
    for (auto& [name, lane] : m_lanes) {
        if (m_policy->find_service(name) == nullptr) {
            continue; // a policy removed the service
        }
        const auto waiting = lane->queue.waiting(); // a copy: passing on changes the queue
        for (const auto& item : waiting) {
            auto* call = find_call(item.token);
            assert(call != nullptr);
            const bool fixed = call->scope == placement_scope::local_only ||
                               call->attempts >= m_limits.placements ||
                               m_guard.check(call->fingerprint, now) != steering::guard_verdict::clear;
            if (fixed) {
                continue;
            }
            refusal_reason ignored;
            if (!try_peers(*call, shifting::region_crossing::serves_home_region, ignored, now, out)) {
                break;
            }
            lane->queue.erase(item.token);
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
    // The answer has to be back before the deadline here.
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

// An idempotent request that can be tried again keeps part of its time for the next attempt.
base::duration request_engine::attempt_time(const pending_call& call, const service_lane& lane,
                                            base::time_point now) const {
    const base::duration remaining = call.deadline - now;
    const bool last = call.semantics == config::request_semantics::non_idempotent ||
                      call.attempts + 1 >= m_limits.placements || lane.retries.available(now) < 1.0;
    if (last) {
        return remaining;
    }
    const auto share = std::chrono::duration_cast<base::duration>(remaining * attempt_share);
    const base::duration generous = std::max(share, attempt_latency_factor * lane.typical_latency());
    return std::min(remaining, std::max<base::duration>(generous, shortest_attempt));
}

void request_engine::dispatch(pending_call& call, service_lane& lane, steering::server_handle handle,
                              steering::isolation mode, base::time_point now, effects& out) {
    if (call.id && call.attempts == 0) {
        const bool first = m_registry.try_mark_dispatched(*call.id);
        assert(first);
        static_cast<void>(first);
    }
    ++call.attempts;
    call.stage = call_stage::at_server;
    call.attempt = ++m_last_number;
    call.server = lane.pool.name(handle);
    m_attempts.emplace(call.attempt, running_attempt{call.number, lane.name, call.server, handle,
                                                     call.fingerprint, mode, now});
    const auto* server = m_policy->find_server(call.server);
    const base::duration server_timeout = attempt_time(call, lane, now);
    base::duration timeout = server_timeout;
    if (call.semantics == config::request_semantics::non_idempotent) {
        timeout += m_limits.grace; // an answer that is about to arrive tells more than a closed connection
    }
    std::string request_id = call.request->request_id;
    if (request_id.empty()) {
        request_id = m_identity.name + "-" + std::to_string(m_identity.incarnation % 1000000) + "-" +
                     std::to_string(call.attempt);
    }
    m_metrics.observe("carawayway_queue_wait_seconds", {{"service", lane.name}}, now - call.arrived);
    out.emplace_back(start_attempt{call.attempt, call.server, server == nullptr ? "" : server->address,
                                   std::move(request_id), call.request, server_timeout, timeout,
                                   m_dispatch_until});
}

// When a caller whose time is over should come back.
base::duration request_engine::retry_advice_of(const pending_call& call, base::time_point now) const {
    const auto* lane = find_lane(call.request->service);
    return lane->queue.retry_after(call.number, lane->pool.usable_slots(now), lane->pool.typical_latency(),
                                   now);
}

void request_engine::pump(service_lane& lane, base::time_point now, effects& out) {
    const base::duration needed = lane.least_remaining();
    for (const auto& expired : lane.queue.take_expired(now, needed)) {
        finish_error(expired.token, base::error_kind::deadline_exceeded_before_dispatch, "waited too long",
                     retry_advice_of(m_calls.at(expired.token), now), now, out);
    }
    while (lane.queue.size() > 0 && lane.pool.free_slots(now) > 0) {
        const auto next = lane.queue.take(now, needed);
        if (!next) {
            return;
        }
        auto* call = find_call(next->token);
        assert(call != nullptr);
        if (m_guard.check(call->fingerprint, now) != steering::guard_verdict::clear) {
            place(*call, now, out);
            continue;
        }
        const auto handle = lane.pool.reserve(now);
        if (!handle) {
            place(*call, now, out);
            return;
        }
        dispatch(*call, lane, *handle, steering::isolation::shared, now, out);
    }
}

} // namespace carawayway::engine
