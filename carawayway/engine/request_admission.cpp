// Admission of requests, request IDs, and the waiters with their deadlines.
#include "carawayway/base/hash.hpp"
#include "carawayway/engine/peer_conversion.hpp"
#include "carawayway/engine/request_engine.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace carawayway::engine {

namespace {

// Covers the grace period of the peer that runs the call, and the way back.
constexpr int call_grace_factor = 4;
constexpr auto retry_after_not_ready = std::chrono::seconds(1);
constexpr auto retry_after_saturation = std::chrono::milliseconds(500);
constexpr auto retry_after_unreachable_owner = std::chrono::seconds(1);

} // namespace

void request_engine::caller_request(std::uint64_t token, request_ptr request, base::time_point now,
                                    effects& out) {
    std::string home;
    if (m_policy) {
        home = m_policy->home_region(request->client_address);
    }
    admit(caller_origin{token}, std::move(request), std::move(home), placement_scope::anywhere, now, out);
}

void request_engine::peer_request(const std::string& entry, std::uint64_t call, wire::request request,
                                  placement_scope scope, base::time_point now, effects& out) {
    std::string home = request.home_region;
    auto converted = std::make_shared<const service_request>(from_wire(std::move(request)));
    admit(peer_origin{entry, call}, std::move(converted), std::move(home), scope, now, out);
}

void request_engine::admit(request_origin origin, request_ptr request, std::string home_region,
                           placement_scope scope, base::time_point now, effects& out) {
    if (!m_policy) {
        refuse_before_admission(origin, *request, scope, base::error_kind::not_ready,
                                "no policy is in force yet", now, out);
        return;
    }
    const auto* service = m_policy->find_service(request->service);
    if (service == nullptr) {
        refuse_before_admission(origin, *request, scope, base::error_kind::service_unknown, request->service,
                                now, out);
        return;
    }
    // The outcome of a request with an ID is known to the registry, or to the entry instance that owns the
    // ID. Such requests are therefore looked up even when no new requests are admitted.
    const bool uses_registry =
        service->semantics == config::request_semantics::non_idempotent && scope == placement_scope::anywhere;
    if (m_admission == admission_state::closed && !uses_registry) {
        refuse_before_admission(origin, *request, scope, base::error_kind::stopping,
                                "use another entry instance", now, out);
        return;
    }
    // Non-idempotent requests are limited by the request table instead, which also records its refusals.
    if (service->semantics == config::request_semantics::idempotent && m_calls.size() >= m_limits.max_calls) {
        refuse_before_admission(origin, *request, scope, base::error_kind::overloaded,
                                "too many requests in progress", now, out);
        return;
    }
    const base::duration timeout =
        std::min(request->timeout.value_or(service->default_timeout), service->maximum_timeout);
    waiter item;
    item.origin = std::move(origin);
    item.service = service->name;
    item.customer = request->customer.empty() ? service->customer : request->customer;
    item.arrived = now;
    item.deadline = now + timeout;

    pending_call call;
    call.number = ++m_last_number;
    call.request = request;
    call.home_region = std::move(home_region);
    call.fingerprint = fingerprint(*request);
    call.semantics = service->semantics;
    call.scope = scope;
    call.arrived = now;
    call.deadline = item.deadline;
    item.call = call.number;
    const std::uint64_t waiter_number = add_waiter(std::move(item));
    call.waiter = waiter_number;

    // A request that a peer sent for execution keeps its ID, but is tracked in the peer's registry.
    if (uses_registry) {
        admit_non_idempotent(waiter_number, request, std::move(call), now, out);
        return;
    }
    if (scope == placement_scope::anywhere) {
        find_local_service(service->name)->retries.record_first_attempt(now);
        ++m_arrivals[{service->name, call.home_region}];
        m_shifts.record_arrival({service->name, call.home_region}, shifting::arrival_kind::first_time, now);
    }
    auto& stored = m_calls.emplace(call.number, std::move(call)).first->second;
    place(stored, now, out);
}

void request_engine::admit_non_idempotent(std::uint64_t waiter_number, const request_ptr& request,
                                          pending_call prepared, base::time_point now, effects& out) {
    base::failure failure;
    const auto id = requests::parse_request_id(request->request_id, failure);
    if (!id) {
        refuse_waiter(waiter_number, failure.kind, failure.detail, {}, now, out);
        return;
    }
    if (!m_registry.owns(*id)) {
        forward_to_owner(std::move(prepared), *id, now, out);
        return;
    }
    auto& item = m_waiters.at(waiter_number);
    item.id = id;
    auto begun = m_registry.begin(*id, prepared.fingerprint, waiter_number, now);
    switch (begun.kind) {
    case requests::begin_kind::replayed:
        respond_to_waiter(waiter_number, *begun.answer, now, out);
        return;
    case requests::begin_kind::joined:
        m_shifts.record_arrival({item.service, prepared.home_region}, shifting::arrival_kind::resend, now);
        return;
    case requests::begin_kind::refused:
        refuse_waiter(waiter_number, *begun.refusal, "", retry_after_saturation, now, out);
        return;
    case requests::begin_kind::fresh:
        break;
    }
    if (m_admission == admission_state::closed) {
        // Recorded as the final outcome, so that a resend of the ID is not executed either.
        const auto response = std::make_shared<const service_response>(make_error_response(
            base::error_kind::stopping, "use another entry instance", retry_after_not_ready));
        m_registry.finish(*id, response, now);
        respond_to_waiter(waiter_number, response, now, out);
        return;
    }
    find_local_service(item.service)->retries.record_first_attempt(now);
    ++m_arrivals[{item.service, prepared.home_region}];
    m_shifts.record_arrival({item.service, prepared.home_region}, shifting::arrival_kind::first_time, now);
    prepared.id = id;
    prepared.waiter = 0;
    m_deadlines.push({prepared.deadline + call_grace_factor * m_limits.attempt_grace, deadline_kind::call,
                      prepared.number});
    auto& stored = m_calls.emplace(prepared.number, std::move(prepared)).first->second;
    place(stored, now, out);
}

void request_engine::forward_to_owner(pending_call call, const requests::request_id& id, base::time_point now,
                                      effects& out) {
    const std::uint64_t waiter_number = call.waiter;
    const bool came_from_peer = std::holds_alternative<peer_origin>(m_waiters.at(waiter_number).origin);
    const auto state =
        id.entry == m_identity.name ? incarnation_state::gone : m_peers.state_of(id.entry, id.incarnation);
    // A request is forwarded only once: the peer that forwarded it took this incarnation for the owner.
    if (state == incarnation_state::gone || came_from_peer) {
        refuse_waiter(waiter_number, base::error_kind::request_id_owner_gone, id.entry, {}, now, out);
        return;
    }
    if (state == incarnation_state::unreachable) {
        refuse_waiter(waiter_number, base::error_kind::request_id_owner_unreachable, id.entry,
                      retry_after_unreachable_owner, now, out);
        return;
    }
    auto& stored = m_calls.emplace(call.number, std::move(call)).first->second;
    send_call(stored, id.entry, call_stage::forwarded, now, out);
}

std::uint64_t request_engine::add_waiter(waiter item) {
    const std::uint64_t number = ++m_last_number;
    if (const auto* caller = std::get_if<caller_origin>(&item.origin)) {
        m_waiter_by_token.emplace(caller->token, number);
    } else {
        const auto& peer = std::get<peer_origin>(item.origin);
        m_waiter_by_peer_call.emplace(std::pair{peer.entry, peer.call}, number);
    }
    m_deadlines.push({item.deadline, deadline_kind::waiter, number});
    m_waiters.emplace(number, std::move(item));
    return number;
}

bool request_engine::is_non_idempotent(const std::string& service) const {
    const auto* found = m_policy ? m_policy->find_service(service) : nullptr;
    return found != nullptr && found->semantics == config::request_semantics::non_idempotent;
}

void request_engine::refuse_waiter(std::uint64_t waiter_number, base::error_kind kind, std::string detail,
                                   base::duration retry_after, base::time_point now, effects& out) {
    auto response =
        std::make_shared<const service_response>(make_error_response(kind, std::move(detail), retry_after));
    respond_to_waiter(waiter_number, std::move(response), now, out);
}

void request_engine::respond_to_waiter(std::uint64_t waiter_number, response_ptr response,
                                       base::time_point now, effects& out) {
    const auto found = m_waiters.find(waiter_number);
    assert(found != m_waiters.end());
    const waiter item = std::move(found->second);
    m_waiters.erase(found);
    if (const auto* caller = std::get_if<caller_origin>(&item.origin)) {
        m_waiter_by_token.erase(caller->token);
    } else {
        const auto& peer = std::get<peer_origin>(item.origin);
        m_waiter_by_peer_call.erase({peer.entry, peer.call});
    }
    const std::string outcome(response->error ? base::answer_for(*response->error).name : "answered");
    m_metrics.add("carawayway_requests_total",
                  {{"customer", item.customer}, {"service", item.service}, {"outcome", outcome}});
    m_metrics.observe("carawayway_request_seconds",
                      {{"customer", item.customer},
                       {"service", item.service},
                       {"execution", std::string(base::to_string(response->execution))}},
                      now - item.arrived);
    const bool include_prefix =
        response->error &&
        base::answer_for(*response->error).advice == base::retry_advice::fresh_request_id &&
        is_non_idempotent(item.service) && std::holds_alternative<caller_origin>(item.origin);
    if (include_prefix) {
        service_response with_prefix = *response;
        with_prefix.request_id_prefix = issue_prefix(now);
        response = std::make_shared<const service_response>(std::move(with_prefix));
    }
    send_response(item.origin, std::move(response), out);
}

void request_engine::refuse_before_admission(const request_origin& origin, const service_request& request,
                                             placement_scope scope, base::error_kind kind, std::string detail,
                                             base::time_point now, effects& out) {
    m_metrics.add("carawayway_requests_total", {{"customer", request.customer},
                                                {"service", request.service},
                                                {"outcome", std::string(base::answer_for(kind).name)}});
    service_response response = make_error_response(kind, std::move(detail), retry_after_not_ready);
    const bool may_have_run = !request.request_id.empty() && scope == placement_scope::anywhere;
    if (may_have_run && response.execution == base::execution_state::not_executed) {
        // An earlier request with this ID may have been executed, and the registry was not consulted.
        response.execution = base::execution_state::unknown;
    } else if (m_policy && is_non_idempotent(request.service)) {
        response.request_id_prefix = issue_prefix(now);
    }
    send_response(origin, std::make_shared<const service_response>(std::move(response)), out);
}

void request_engine::send_response(const request_origin& origin, response_ptr response, effects& out) {
    if (const auto* caller = std::get_if<caller_origin>(&origin)) {
        out.emplace_back(respond_to_caller{caller->token, std::move(response)});
        return;
    }
    const auto& peer = std::get<peer_origin>(origin);
    out.emplace_back(
        send_to_peer{peer.entry, wire::request_result{peer.call, to_wire(*response)}, std::nullopt});
}

// Handles the deadline of a waiter. A non-idempotent request that was dispatched is not cancelled, so that a
// resend can learn its outcome; its attempt times out shortly afterwards.
void request_engine::expire_waiter(std::uint64_t waiter_number, base::time_point now, effects& out) {
    const waiter& item = m_waiters.at(waiter_number);
    const std::uint64_t call_number = item.call;
    auto* call = find_call(call_number);
    if (item.id) {
        // A queued call has not been executed: otherwise it would not wait for another attempt.
        if (call != nullptr && call->stage == call_stage::queued) {
            cancel_work(*call, out);
            finish_with_error(call_number, base::error_kind::deadline_exceeded_before_dispatch, "",
                              retry_after_for(*call, now), now, out);
            return;
        }
        m_registry.remove_waiter(*item.id, waiter_number);
        refuse_waiter(waiter_number, base::error_kind::deadline_exceeded, "the request is still running",
                      std::chrono::seconds(1), now, out);
        return;
    }
    assert(call != nullptr);
    if (call->semantics == config::request_semantics::non_idempotent &&
        call->stage == call_stage::at_server) {
        return; // the peer that owns the ID still needs the outcome
    }
    const bool sent = call->attempts > 0;
    cancel_work(*call, out);
    finish_with_error(call_number,
                      sent ? base::error_kind::deadline_exceeded
                           : base::error_kind::deadline_exceeded_before_dispatch,
                      "", retry_after_for(*call, now), now, out);
}

// A live peer responds before this deadline. The call was lost with a replaced link or by the peer itself, so
// the outcome is unknown.
void request_engine::expire_call(std::uint64_t call_number, base::time_point now, effects& out) {
    const auto* call = find_call(call_number);
    if (call != nullptr && call->stage == call_stage::at_peer) {
        finish_with_error(call_number, base::error_kind::peer_lost, call->peer, {}, now, out);
    }
}

void request_engine::caller_left(std::uint64_t token, base::time_point now, effects& out) {
    const auto found = m_waiter_by_token.find(token);
    if (found != m_waiter_by_token.end()) {
        drop_waiter(found->second, now, out);
    }
}

void request_engine::peer_cancel(const std::string& entry, std::uint64_t call, base::time_point now,
                                 effects& out) {
    const auto found = m_waiter_by_peer_call.find({entry, call});
    if (found != m_waiter_by_peer_call.end()) {
        drop_waiter(found->second, now, out);
    }
}

// Removes a waiter and cancels its request if it is idempotent. A non-idempotent request continues, since a
// resend of its ID may join it.
void request_engine::drop_waiter(std::uint64_t waiter_number, base::time_point now, effects& out) {
    const waiter item = m_waiters.at(waiter_number);
    if (item.id) {
        m_registry.remove_waiter(*item.id, waiter_number);
    } else if (auto* call = find_call(item.call)) {
        if (call->semantics == config::request_semantics::non_idempotent && call->attempts > 0) {
            return; // the peer that owns the ID still needs the outcome
        }
        cancel_work(*call, out);
        if (call->stage == call_stage::at_peer || call->stage == call_stage::forwarded) {
            end_peer_call(*call, slot_after_call::freed);
        }
        m_calls.erase(item.call);
    }
    m_waiters.erase(waiter_number);
    if (const auto* caller = std::get_if<caller_origin>(&item.origin)) {
        m_waiter_by_token.erase(caller->token);
    } else {
        const auto& peer = std::get<peer_origin>(item.origin);
        m_waiter_by_peer_call.erase({peer.entry, peer.call});
    }
    m_metrics.add("carawayway_requests_total",
                  {{"customer", item.customer}, {"service", item.service}, {"outcome", "caller-left"}});
    if (auto* local = find_local_service(item.service)) {
        dispatch_queued(*local, now, out);
    }
}

} // namespace carawayway::engine
