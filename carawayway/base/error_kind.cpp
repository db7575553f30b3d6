// The table of error properties, in the order of the enumeration.
#include "carawayway/base/error_kind.hpp"

#include <algorithm>
#include <cassert>

namespace carawayway::base {

namespace {

using enum error_kind;
using enum retry_advice;

constexpr auto executed = execution_state::executed;
constexpr auto not_executed = execution_state::not_executed;
constexpr auto unknown = execution_state::unknown;

constexpr std::array<error_properties, error_kind_count> properties_table{{
    {service_unknown, "service-unknown", "No such service", 404, not_executed, after_fixing_input},
    {request_invalid, "request-invalid", "Invalid request", 400, not_executed, after_fixing_input},
    {request_too_large, "request-too-large", "Request too large", 413, not_executed, after_fixing_input},
    {request_id_missing, "request-id-missing", "Request ID required", 428, not_executed, fresh_request_id},
    {request_id_invalid, "request-id-invalid", "Malformed request ID", 400, not_executed, fresh_request_id},
    {request_id_not_accepted, "request-id-not-accepted", "New request IDs under this prefix are closed", 409,
     not_executed, fresh_request_id},
    {request_id_not_issued, "request-id-not-issued",
     "Request ID prefix was not issued by this entry instance", 400, unknown, never},
    {request_id_expired, "request-id-expired", "Request ID expired", 410, unknown, never},
    {request_id_reused, "request-id-reused", "Request ID already used for other content", 422, not_executed,
     after_fixing_input},
    {request_id_owner_gone, "request-id-owner-gone", "The entry instance that owned this ID is gone", 502,
     unknown, never},
    {request_id_owner_unreachable, "request-id-owner-unreachable",
     "The entry instance that owns this ID is unreachable", 503, unknown, same_request_id},
    {request_table_full, "request-table-full", "Request table full", 503, not_executed, fresh_request_id},
    {overloaded, "overloaded", "Overloaded", 503, not_executed, fresh_request_id},
    {deadline_unreachable, "deadline-unreachable", "Cannot finish in time", 503, not_executed,
     fresh_request_id},
    {deadline_exceeded_before_dispatch, "deadline-exceeded-before-dispatch", "Deadline passed while queued",
     503, not_executed, fresh_request_id},
    {deadline_exceeded, "deadline-exceeded", "Deadline exceeded", 504, unknown, same_request_id},
    {shift_cap_reached, "shift-cap-reached", "Traffic shift cap reached", 503, not_executed,
     fresh_request_id},
    {request_quarantined, "request-quarantined", "Request content is quarantined", 503, not_executed, never},
    {no_server_available, "no-server-available", "No backend server available", 503, not_executed,
     fresh_request_id},
    {server_refused, "server-refused", "Backend server refused before work began", 503, not_executed,
     fresh_request_id},
    {server_lost, "server-lost", "Backend server lost", 502, unknown, same_request_id},
    {answer_truncated, "answer-truncated", "Answer cut short", 502, unknown, same_request_id},
    {peer_refused, "peer-refused", "Peer refused before dispatch", 503, not_executed, fresh_request_id},
    {peer_lost, "peer-lost", "Peer link lost", 502, unknown, same_request_id},
    {not_ready, "not-ready", "No policy in force yet", 503, not_executed, fresh_request_id},
    {stopping, "stopping", "Entry instance is stopping", 503, not_executed, fresh_request_id},
    {unauthorized, "unauthorized", "Missing or wrong token", 401, not_executed, after_fixing_input},
    {too_many_connections, "too-many-connections", "Too many connections", 503, not_executed,
     fresh_request_id},
    {policy_invalid, "policy-invalid", "Policy refused", 422, not_executed, after_fixing_input},
    {policy_conflict, "policy-conflict", "Policy revision conflict", 409, not_executed, after_fixing_input},
    {store_unavailable, "store-unavailable", "Configuration store unavailable", 503, not_executed,
     fresh_request_id},
    {store_outcome_unknown, "store-outcome-unknown", "Outcome of the store write unknown", 504, unknown,
     same_request_id},
    {frame_invalid, "frame-invalid", "Invalid frame", 400, not_executed, never},
    {settings_invalid, "settings-invalid", "Invalid settings", 400, not_executed, after_fixing_input},
    {not_found, "not-found", "Not found", 404, not_executed, after_fixing_input},
    {request_rate_limited, "request-rate-limited", "Backend servers limit their request rate", 503,
     not_executed, fresh_request_id},
    {servers_resting, "servers-resting", "Backend servers have asked for rest", 503, not_executed,
     fresh_request_id},
    {memory_exhausted, "memory-exhausted", "No memory for the request", 503, not_executed, fresh_request_id},
    {api_key_unknown, "api-key-unknown", "Missing or unknown API key", 401, not_executed, after_fixing_input},
    {quota_exceeded, "quota-exceeded", "Quota of the client account exceeded", 429, not_executed,
     fresh_request_id},
    {internal, "internal", "Internal error", 500, unknown, same_request_id},
}};

constexpr bool is_ordered_by_kind() {
    for (std::size_t row = 0; row < properties_table.size(); ++row) {
        if (static_cast<std::size_t>(properties_table.at(row).kind) != row) {
            return false;
        }
    }
    return true;
}
static_assert(is_ordered_by_kind());

} // namespace

const error_properties& properties_of(error_kind kind) {
    const auto row = static_cast<std::size_t>(kind);
    assert(row < properties_table.size());
    return properties_table.at(row);
}

std::optional<error_kind> error_kind_from_name(std::string_view name) {
    const auto* found =
        std::find_if(properties_table.begin(), properties_table.end(),
                     [name](const error_properties& properties) { return properties.name == name; });
    if (found == properties_table.end()) {
        return std::nullopt;
    }
    return found->kind;
}

std::string_view to_string(execution_state state) {
    switch (state) {
    case executed:
        return "executed";
    case not_executed:
        return "not-executed";
    case unknown:
        break;
    }
    return "unknown";
}

std::string_view to_string(retry_advice advice) {
    switch (advice) {
    case never:
        return "never";
    case same_request_id:
        return "same-request-id";
    case fresh_request_id:
        return "fresh-request-id";
    case after_fixing_input:
        break;
    }
    return "after-fixing-input";
}

} // namespace carawayway::base
