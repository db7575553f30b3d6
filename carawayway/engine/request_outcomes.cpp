// Handles the results of attempts and of calls to peers: final responses, retries, and updates of the server
// pool and the crash guard.
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

constexpr std::uint16_t first_server_error_status = 500;

} // namespace

void request_engine::attempt_finished(std::uint64_t attempt, server_result result, base::time_point now,
                                      effects& out) {
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end()) {
        return;
    }
    const running_attempt ended = std::move(found->second);
    m_attempts.erase(found);
    record_attempt_result(ended, result, now, out);
    auto* call = find_call(ended.call);
    if (call != nullptr && call->stage == call_stage::at_server && call->attempt == attempt) {
        handle_attempt_result(*call, ended.server, std::move(result), now, out);
    }
    dispatch_queued(*find_local_service(ended.service), now, out);
}

// Frees the slot and updates the server pool and the crash guard, even if no caller waits for the result any
// more.
void request_engine::record_attempt_result(const running_attempt& attempt, const server_result& result,
                                           base::time_point now, effects& out) {
    m_metrics.add("carawayway_attempts_total",
                  {{"service", attempt.service}, {"outcome", std::string(to_string(result.outcome))}});
    auto* local = find_local_service(attempt.service);
    local->pool.complete(attempt.handle, to_completion(result), now - attempt.started, now);
    local->queue.record_completion(now);
    if (result.reported_in_flight) {
        local->pool.record_load_report(attempt.server, *result.reported_in_flight, {}, now);
    }
    if (result.drain == drain_signal::draining) {
        server_draining(attempt.server, wire::drain_evidence::server_answer, now);
        m_newly_draining_servers.push_back(attempt.server);
    }
    // An error does not show that the content is harmless: the server may have failed before it got to the
    // part that ends servers.
    const bool is_error = result.status >= first_server_error_status;
    if (result.outcome == attempt_outcome::answered && !is_error) {
        record_server_survival(attempt, now, out);
    } else if (result.outcome == attempt_outcome::lost) {
        record_server_loss(attempt, now, out);
    } else if (attempt.isolation == steering::isolation::isolated) {
        m_guard.abandon_isolated_run(attempt.fingerprint);
    }
}

void request_engine::handle_attempt_result(pending_call& call, std::string server, server_result result,
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
        service_response response;
        response.execution = base::execution_state::executed;
        response.status = result.status;
        response.headers = std::move(result.headers);
        response.body = std::move(result.body);
        response.server = std::move(server);
        finish(call.number, std::move(response), now, out);
        return;
    }
    case attempt_outcome::refused_before_work:
        handle_not_executed(call, base::error_kind::server_refused, {}, now, out);
        return;
    case attempt_outcome::not_sent:
        handle_not_executed(call, base::error_kind::no_server_available, {}, now, out);
        return;
    case attempt_outcome::lost:
    case attempt_outcome::mismatched:
        handle_unknown_outcome(call, base::error_kind::server_lost, now, out);
        return;
    case attempt_outcome::truncated:
        handle_unknown_outcome(call, base::error_kind::answer_truncated, now, out);
        return;
    case attempt_outcome::timed_out:
    case attempt_outcome::cancelled:
        break;
    }
    handle_unknown_outcome(call, base::error_kind::deadline_exceeded, now, out);
}

// The request is known not to have been executed, so it may be placed again whatever its semantics.
void request_engine::handle_not_executed(pending_call& call, base::error_kind kind,
                                         base::duration retry_after, base::time_point now, effects& out) {
    if (call.scope == placement_scope::anywhere && call.attempts < m_limits.max_attempts &&
        now < call.deadline) {
        place(call, now, out);
        return;
    }
    const auto advice =
        retry_after > base::duration::zero() ? retry_after : base::duration(std::chrono::seconds(1));
    finish_with_error(call.number, kind, "", advice, now, out);
}

void request_engine::handle_unknown_outcome(pending_call& call, base::error_kind kind, base::time_point now,
                                            effects& out) {
    call.may_have_run = true;
    if (may_retry(call, now)) {
        place(call, now, out);
        return;
    }
    finish_with_error(call.number, kind, call.server, {}, now, out);
}

bool request_engine::may_retry(const pending_call& call, base::time_point now) {
    if (call.semantics == config::request_semantics::non_idempotent ||
        call.attempts >= m_limits.max_attempts || call.scope == placement_scope::local_only) {
        return false;
    }
    auto* local = find_local_service(call.request->service);
    if (now + local->typical_latency() >= call.deadline) {
        return false;
    }
    return local->retries.try_spend(now);
}

// Strikes are broadcast before any caller gets a response, so that peers know them when a resend arrives. The
// first lost attempt records the contents of all attempts in flight on the server. Recorded one by one, each
// of them would look like the only possible cause of the crash.
void request_engine::record_server_loss(const running_attempt& attempt, base::time_point now, effects& out) {
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

void request_engine::record_server_survival(const running_attempt& attempt, base::time_point now,
                                            effects& out) {
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

void request_engine::end_peer_call(pending_call& call, slot_after_call slot) {
    m_peers.call_ended(call.peer, call.request->service, wire_size(*call.request), slot);
    call.stage = call_stage::placing;
}

void request_engine::peer_result(const std::string& entry, std::uint64_t call_number, wire::outcome result,
                                 base::time_point now, effects& out) {
    auto* call = find_call(call_number);
    const bool expected = call != nullptr && call->peer == entry &&
                          (call->stage == call_stage::at_peer || call->stage == call_stage::forwarded);
    if (!expected) {
        return; // completed in the meantime
    }
    const bool forwarded = call->stage == call_stage::forwarded;
    const bool refused = !forwarded && result.execution == base::execution_state::not_executed;
    end_peer_call(*call, refused ? slot_after_call::uncertain : slot_after_call::freed);
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
        handle_not_executed(*call, result.error.value_or(base::error_kind::peer_refused),
                            std::chrono::milliseconds(result.retry_after_ms), now, out);
        return;
    case base::execution_state::unknown:
        break;
    }
    call->server = result.server;
    handle_unknown_outcome(*call, result.error.value_or(base::error_kind::peer_lost), now, out);
}

void request_engine::peer_call_lost(const std::string& entry, std::uint64_t call_number,
                                    loss_evidence evidence, base::time_point now, effects& out) {
    auto* call = find_call(call_number);
    if (call == nullptr || call->peer != entry) {
        return;
    }
    if (call->stage == call_stage::forwarded) {
        end_peer_call(*call, slot_after_call::freed);
        const auto kind = evidence == loss_evidence::never_sent
                              ? base::error_kind::request_id_owner_unreachable
                              : base::error_kind::peer_lost;
        finish_with_error(call_number, kind, entry, std::chrono::seconds(1), now, out);
        return;
    }
    if (call->stage != call_stage::at_peer) {
        return;
    }
    end_peer_call(*call, slot_after_call::freed);
    call->refused_peers.push_back(entry);
    if (evidence == loss_evidence::never_sent) {
        handle_not_executed(*call, base::error_kind::no_server_available, {}, now, out);
    } else {
        handle_unknown_outcome(*call, base::error_kind::peer_lost, now, out);
    }
}

void request_engine::finish_with_error(std::uint64_t call_number, base::error_kind kind, std::string detail,
                                       base::duration retry_after, base::time_point now, effects& out) {
    finish(call_number, make_error_response(kind, std::move(detail), retry_after), now, out);
}

void request_engine::finish(std::uint64_t call_number, service_response response, base::time_point now,
                            effects& out) {
    const auto found = m_calls.find(call_number);
    assert(found != m_calls.end());
    if (found->second.stage == call_stage::at_peer || found->second.stage == call_stage::forwarded) {
        end_peer_call(found->second, slot_after_call::freed);
    }
    const pending_call call = std::move(found->second);
    m_calls.erase(found);
    if (call.may_have_run && response.execution == base::execution_state::not_executed) {
        // The last attempt was not executed, but an earlier one may have been.
        response.execution = base::execution_state::unknown;
    }
    const auto shared = std::make_shared<const service_response>(std::move(response));
    if (!call.id) {
        if (m_waiters.contains(call.waiter)) {
            respond_to_waiter(call.waiter, shared, now, out);
        }
        return;
    }
    for (const auto waiter_number : m_registry.finish(*call.id, shared, now)) {
        respond_to_waiter(waiter_number, shared, now, out);
    }
}

// Cancels the call's attempt or peer call without waiting for the result, which frees the slot later.
void request_engine::cancel_work(pending_call& call, effects& out) {
    switch (call.stage) {
    case call_stage::placing:
        break;
    case call_stage::queued:
        find_local_service(call.request->service)->queue.erase(call.number);
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
