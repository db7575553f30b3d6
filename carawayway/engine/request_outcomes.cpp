// Results of attempts and of calls to peers: final answers, retries, and what is learned about servers and
// content.
#include "carawayway/engine/peer_conversion.hpp"
#include "carawayway/engine/request_engine.hpp"

#include <array>
#include <cassert>
#include <utility>

namespace carawayway::engine {

namespace {

steering::completion_kind to_completion(const server_result& result) {
    switch (result.outcome) {
    case attempt_outcome::answered:
        return result.status >= 500 ? steering::completion_kind::failed : steering::completion_kind::answered;
    case attempt_outcome::refused_before_work:
        return steering::completion_kind::shed;
    case attempt_outcome::not_sent:
        return steering::completion_kind::not_sent;
    case attempt_outcome::timed_out:
        return steering::completion_kind::timed_out;
    case attempt_outcome::cancelled:
        return steering::completion_kind::cancelled;
    case attempt_outcome::lost:
    case attempt_outcome::truncated:
    case attempt_outcome::mismatched:
        break;
    }
    return steering::completion_kind::lost;
}

std::string_view to_string(attempt_outcome outcome) {
    constexpr std::array<std::string_view, 8> names{"answered",  "refused",    "not-sent",  "lost",
                                                    "truncated", "mismatched", "timed-out", "cancelled"};
    return names.at(static_cast<std::size_t>(outcome));
}

} // namespace

void request_engine::attempt_finished(std::uint64_t attempt, server_result result, base::time_point now,
                                      effects& out) {
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end()) {
        return;
    }
    const running_attempt ended = std::move(found->second);
    m_attempts.erase(found);
    settle_attempt(ended, result, now, out);
    auto* call = find_call(ended.call);
    if (call != nullptr && call->stage == call_stage::at_server && call->attempt == attempt) {
        complete_call(*call, ended.server, std::move(result), now, out);
    }
    pump(*find_lane(ended.service), now, out);
}

// Frees the slot and learns from the attempt, whether or not anybody still waits for it.
void request_engine::settle_attempt(const running_attempt& attempt, const server_result& result,
                                    base::time_point now, effects& out) {
    m_metrics.add("carawayway_attempts_total",
                  {{"service", attempt.service}, {"outcome", std::string(to_string(result.outcome))}});
    auto* lane = find_lane(attempt.service);
    lane->pool.complete(attempt.handle, to_completion(result), now - attempt.started, now);
    lane->queue.record_completion(now);
    if (result.reported_in_flight) {
        lane->pool.record_load_report(attempt.server, *result.reported_in_flight, {}, now);
    }
    if (result.drain == drain_signal::draining) {
        server_draining(attempt.server, wire::drain_evidence::server_answer, now);
        m_drain_evidence.push_back(attempt.server);
    }
    if (result.outcome == attempt_outcome::answered) {
        record_survival(attempt, now, out);
    } else if (result.outcome == attempt_outcome::lost) {
        record_loss(attempt, now, out);
    } else if (attempt.isolation == steering::isolation::isolated) {
        m_guard.abandon_isolated_run(attempt.fingerprint);
    }
}

void request_engine::complete_call(pending_call& call, std::string server, server_result result,
                                   base::time_point now, effects& out) {
    call.stage = call_stage::placing;
    call.own_server_failed =
        result.outcome != attempt_outcome::answered && result.outcome != attempt_outcome::refused_before_work;
    switch (result.outcome) {
    case attempt_outcome::answered: {
        const bool server_error = result.status >= 500;
        if (server_error && may_retry(call, now)) {
            call.may_have_run = true;
            place(call, now, out);
            return;
        }
        service_response answer;
        answer.execution = base::execution_state::executed;
        answer.status = result.status;
        answer.headers = std::move(result.headers);
        answer.body = std::move(result.body);
        answer.server = std::move(server);
        finish(call.number, std::move(answer), now, out);
        return;
    }
    case attempt_outcome::refused_before_work:
        not_run(call, base::error_kind::server_refused, {}, now, out);
        return;
    case attempt_outcome::not_sent:
        not_run(call, base::error_kind::no_server_available, {}, now, out);
        return;
    case attempt_outcome::lost:
    case attempt_outcome::mismatched:
        may_have_run(call, base::error_kind::server_lost, now, out);
        return;
    case attempt_outcome::truncated:
        may_have_run(call, base::error_kind::answer_truncated, now, out);
        return;
    case attempt_outcome::timed_out:
    case attempt_outcome::cancelled:
        break;
    }
    may_have_run(call, base::error_kind::deadline_exceeded, now, out);
}

// Certain: the request did not run. It may be placed again, whatever its semantics.
void request_engine::not_run(pending_call& call, base::error_kind kind, base::duration retry_after,
                             base::time_point now, effects& out) {
    if (call.scope == placement_scope::anywhere && call.attempts < m_limits.placements &&
        now < call.deadline) {
        place(call, now, out);
        return;
    }
    const auto advice =
        retry_after > base::duration::zero() ? retry_after : base::duration(std::chrono::seconds(1));
    finish_error(call.number, kind, "", advice, now, out);
}

void request_engine::may_have_run(pending_call& call, base::error_kind kind, base::time_point now,
                                  effects& out) {
    call.may_have_run = true;
    if (may_retry(call, now)) {
        place(call, now, out);
        return;
    }
    finish_error(call.number, kind, call.server, {}, now, out);
}

bool request_engine::may_retry(const pending_call& call, base::time_point now) {
    if (call.semantics == config::request_semantics::non_idempotent || call.attempts >= m_limits.placements ||
        call.scope == placement_scope::local_only) {
        return false;
    }
    auto* lane = find_lane(call.request->service);
    if (now + lane->typical_latency() >= call.deadline) {
        return false;
    }
    return lane->retries.try_spend(now);
}

// Strikes go out before any caller is answered, so that a resend meets them wherever it arrives. All that was
// in flight on the server is judged at its first loss, since each lost attempt alone would look like the
// culprit.
void request_engine::record_loss(const running_attempt& attempt, base::time_point now, effects& out) {
    if (attempt.loss == loss_record::recorded) {
        if (attempt.isolation == steering::isolation::isolated) {
            m_guard.abandon_isolated_run(attempt.fingerprint);
        }
        return;
    }
    std::vector<std::uint64_t> lost{attempt.fingerprint};
    for (auto& [number, other] : m_attempts) {
        if (other.server == attempt.server && other.service == attempt.service) {
            other.loss = loss_record::recorded;
            lost.push_back(other.fingerprint);
        }
    }
    for (const auto& record : m_guard.record_server_loss(lost, attempt.isolation, now)) {
        out.emplace_back(
            broadcast_to_peers{wire::strike{record.fingerprint, record.count, record.recorded_by}});
    }
}

void request_engine::record_survival(const running_attempt& attempt, base::time_point now, effects& out) {
    if (const auto cleared = m_guard.record_answer(attempt.fingerprint, now)) {
        out.emplace_back(
            broadcast_to_peers{wire::strike_cleared{cleared->fingerprint, cleared->recorded_by}});
    }
}

void request_engine::merge_strike(const wire::strike& record, base::time_point now) {
    m_guard.merge({record.fingerprint, record.count, record.recorded_by}, now);
}

std::vector<wire::strike> request_engine::strikes(base::time_point now) const {
    std::vector<wire::strike> result;
    for (const auto& record : m_guard.records(now)) {
        result.push_back({record.fingerprint, record.count, record.recorded_by});
    }
    return result;
}

void request_engine::clear_strike(const wire::strike_cleared& record) {
    m_guard.clear(record.fingerprint, record.recorded_by);
}

void request_engine::leave_peer(pending_call& call, room_after_call room) {
    m_peers.call_ended(call.peer, call.request->service, wire_size(*call.request), room);
    call.stage = call_stage::placing;
}

void request_engine::peer_result(const std::string& entry, std::uint64_t call_number, wire::outcome result,
                                 base::time_point now, effects& out) {
    auto* call = find_call(call_number);
    const bool expected = call != nullptr && call->peer == entry &&
                          (call->stage == call_stage::at_peer || call->stage == call_stage::forwarded);
    if (!expected) {
        return; // answered in the meantime
    }
    const bool forwarded = call->stage == call_stage::forwarded;
    const bool refused = !forwarded && result.execution == base::execution_state::not_executed;
    leave_peer(*call, refused ? room_after_call::doubtful : room_after_call::regained);
    if (forwarded) {
        finish(call_number, from_wire(std::move(result)), now, out);
        return;
    }
    switch (result.execution) {
    case base::execution_state::executed:
        finish(call_number, from_wire(std::move(result)), now, out);
        return;
    case base::execution_state::not_executed:
        if (result.error == base::error_kind::request_quarantined) {
            finish(call_number, from_wire(std::move(result)), now, out);
            return;
        }
        call->refused_peers.push_back(entry);
        not_run(*call, result.error.value_or(base::error_kind::peer_refused),
                std::chrono::milliseconds(result.retry_after_ms), now, out);
        return;
    case base::execution_state::unknown:
        break;
    }
    call->server = result.server;
    may_have_run(*call, result.error.value_or(base::error_kind::peer_lost), now, out);
}

void request_engine::peer_call_lost(const std::string& entry, std::uint64_t call_number,
                                    loss_evidence evidence, base::time_point now, effects& out) {
    auto* call = find_call(call_number);
    if (call == nullptr || call->peer != entry) {
        return;
    }
    if (call->stage == call_stage::forwarded) {
        leave_peer(*call, room_after_call::regained);
        const auto kind = evidence == loss_evidence::never_sent
                              ? base::error_kind::request_id_owner_unreachable
                              : base::error_kind::peer_lost;
        finish_error(call_number, kind, entry, std::chrono::seconds(1), now, out);
        return;
    }
    if (call->stage != call_stage::at_peer) {
        return;
    }
    leave_peer(*call, room_after_call::regained);
    call->refused_peers.push_back(entry);
    if (evidence == loss_evidence::never_sent) {
        not_run(*call, base::error_kind::no_server_available, {}, now, out);
    } else {
        may_have_run(*call, base::error_kind::peer_lost, now, out);
    }
}

void request_engine::finish_error(std::uint64_t call_number, base::error_kind kind, std::string detail,
                                  base::duration retry_after, base::time_point now, effects& out) {
    finish(call_number, make_error_response(kind, std::move(detail), retry_after), now, out);
}

void request_engine::finish(std::uint64_t call_number, service_response answer, base::time_point now,
                            effects& out) {
    const auto found = m_calls.find(call_number);
    assert(found != m_calls.end());
    if (found->second.stage == call_stage::at_peer || found->second.stage == call_stage::forwarded) {
        leave_peer(found->second, room_after_call::regained);
    }
    const pending_call call = std::move(found->second);
    m_calls.erase(found);
    if (call.may_have_run && answer.execution == base::execution_state::not_executed) {
        // The last attempt did not run, but an earlier one may have.
        answer.execution = base::execution_state::unknown;
    }
    const auto shared = std::make_shared<const service_response>(std::move(answer));
    if (!call.id) {
        if (m_waiters.contains(call.waiter)) {
            answer_waiter(call.waiter, shared, now, out);
        }
        return;
    }
    for (const auto waiter_number : m_registry.finish(*call.id, shared, now)) {
        answer_waiter(waiter_number, shared, now, out);
    }
}

// Stops what is running for the call, without waiting for it. The attempt's result frees the server's slot
// later.
void request_engine::cancel_work(pending_call& call, effects& out) {
    switch (call.stage) {
    case call_stage::placing:
        break;
    case call_stage::queued:
        find_lane(call.request->service)->queue.erase(call.number);
        break;
    case call_stage::at_server:
        out.emplace_back(cancel_attempt{call.attempt});
        break;
    case call_stage::at_peer:
    case call_stage::forwarded:
        out.emplace_back(send_to_peer{call.peer, wire::cancel_request{call.number}, std::nullopt});
        break;
    }
}

} // namespace carawayway::engine
