// A request in progress at this entry instance, and the callers or peers that wait for its outcome.
#pragma once

#include "carawayway/config/policy.hpp"
#include "carawayway/engine/service_request.hpp"
#include "carawayway/requests/request_id.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace carawayway::engine {

struct caller_origin {
    std::uint64_t token = 0;
};

struct peer_origin {
    std::string entry;
    std::uint64_t call = 0; // call number at that peer
};

using request_origin = std::variant<caller_origin, peer_origin>;

// A caller or peer that waits for the outcome. Each waiter gets exactly one response unless it leaves first.
struct waiter {
    request_origin origin;
    std::uint64_t call = 0;
    std::string service;
    std::string customer;
    base::time_point arrived;
    base::time_point deadline;
    std::optional<requests::request_id> id; // set for a non-idempotent request whose ID this incarnation owns
};

enum class call_stage : std::uint8_t {
    placing,   // being placed, within the handling of one event
    queued,    // in the admission queue of its service
    at_server, // an attempt at an own server is running
    at_peer,   // sent to another entry instance for execution
    forwarded, // sent to the entry instance that owns its request ID
};

// Where a call may be placed.
enum class placement_scope : std::uint8_t {
    anywhere,
    local_only, // own servers only: a peer has already chosen this entry instance
};

struct pending_call {
    std::uint64_t number = 0;
    request_ptr request;
    std::string home_region; // empty if unknown
    std::uint64_t fingerprint = 0;
    config::request_semantics semantics = config::request_semantics::idempotent;
    placement_scope scope = placement_scope::anywhere;
    std::optional<requests::request_id> id; // if set, the outcome goes to the registry's waiters
    std::uint64_t waiter = 0;               // the only waiter if `id` is not set
    base::time_point arrived;
    base::time_point deadline;

    call_stage stage = call_stage::placing;
    std::uint32_t attempts = 0;             // how often it was sent to a server or a peer
    bool may_have_run = false;              // an earlier attempt may have been executed
    std::uint64_t attempt = 0;              // number of the running attempt, in stage at_server
    std::string server;                     // last server that it was sent to, for the response's detail
    std::string peer;                       // in the stages at_peer and forwarded
    std::vector<std::string> refused_peers; // peers that are not tried again for this call
    bool own_server_failed = false; // an own server did not respond, so peers are tried before another one
};

} // namespace carawayway::engine
