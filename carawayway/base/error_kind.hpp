// The error kinds and what callers are told about each.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace carawayway::base {

// What is known about the execution of a request. `not_executed` guarantees that it has not run and never
// will.
enum class execution_state : std::uint8_t { executed, not_executed, unknown };

// What the caller should do next.
enum class retry_advice : std::uint8_t {
    never,              // the same request fails again
    same_request_id,    // resend later with the same request ID: the outcome may become known
    fresh_request_id,   // resend later; non-idempotent requests need a fresh request ID
    after_fixing_input, // correct the request first
};

// New kinds are added before `internal`, with a row in the table of error_kind.cpp.
enum class error_kind : std::uint8_t {
    service_unknown,
    request_invalid,
    request_too_large,
    request_id_missing,
    request_id_invalid,
    request_id_not_accepted, // new IDs under this prefix are no longer accepted, and no record exists
    request_id_not_issued,   // this incarnation did not issue the prefix yet, but may do so later
    request_id_expired,      // older than the retention time: the record may have been dropped
    request_id_reused,       // the same ID with different content
    request_id_owner_gone,   // the incarnation that owns the ID no longer exists
    request_id_owner_unreachable,
    request_table_full,
    overloaded,
    deadline_unreachable, // refused on arrival: cannot finish within the remaining time
    deadline_exceeded_before_dispatch,
    deadline_exceeded,
    shift_cap_reached,
    request_quarantined, // requests with the same content crashed servers
    no_server_available,
    server_refused,
    server_lost,
    answer_truncated,
    peer_refused,
    peer_lost,
    not_ready,
    stopping,
    unauthorized,
    too_many_connections,
    policy_invalid,
    policy_conflict,
    store_unavailable,
    store_outcome_unknown,
    frame_invalid,
    settings_invalid,
    not_found,
    request_rate_limited, // the backend servers take no more requests per second
    servers_resting,      // the backend servers have asked for no requests for some time
    memory_exhausted,     // requests and responses take all memory for them
    api_key_unknown,      // of a caller; missing, or of no client account
    quota_exceeded,       // of the client account
    internal,
};

inline constexpr std::size_t error_kind_count = static_cast<std::size_t>(error_kind::internal) + 1;

// What callers are told about one kind of error.
struct error_properties {
    error_kind kind;
    std::string_view name; // stable, used in problem documents, logs and metrics
    std::string_view title;
    std::uint16_t status; // HTTP status code
    execution_state execution;
    retry_advice advice;

    bool operator==(const error_properties&) const = default;
};

// Every kind has a row in the table.
const error_properties& properties_of(error_kind kind);

// Returns std::nullopt for an unknown name.
std::optional<error_kind> error_kind_from_name(std::string_view name);

std::string_view to_string(execution_state state);
std::string_view to_string(retry_advice advice);

// Why a function returned an empty optional.
struct failure {
    error_kind kind = error_kind::internal;
    std::string detail;

    bool operator==(const failure&) const = default;
};

} // namespace carawayway::base
