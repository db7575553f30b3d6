// One request on its way through this entry instance, and the callers or peers that wait for its outcome.
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
    std::uint64_t call = 0; // as numbered by that peer
};

using request_origin = std::variant<caller_origin, peer_origin>;

// Somebody who gets the outcome. Each waiter is answered exactly once, or leaves.
struct waiter {
    request_origin origin;
    std::uint64_t call = 0;
    std::string service;
    std::string customer;
    base::time_point arrived;
    base::time_point deadline;
    std::optional<requests::request_id> id; // of a non-idempotent request that this incarnation owns
};

enum class call_stage : std::uint8_t {
    placing,   // between two attempts, within one event
    queued,    // in the admission queue of its service
    at_server, // an attempt is running
    at_peer,   // passed to another entry instance
    forwarded, // passed to the entry instance that owns its ID
};

// Where a call may be placed.
enum class placement_scope : std::uint8_t {
    anywhere,
    local_only, // came from a peer, which has already chosen this entry instance
};

struct pending_call {
    std::uint64_t number = 0;
    request_ptr request;
    std::string home_region; // empty: not known
    std::uint64_t fingerprint = 0;
    config::request_semantics semantics = config::request_semantics::idempotent;
    placement_scope scope = placement_scope::anywhere;
    std::optional<requests::request_id> id; // set: the outcome goes to the registry's waiters
    std::uint64_t waiter = 0;               // the only waiter when there is no `id`
    base::time_point arrived;
    base::time_point deadline;

    call_stage stage = call_stage::placing;
    std::uint32_t attempts = 0;             // times it was sent to a server or a peer
    bool may_have_run = false;              // an earlier attempt may have been executed
    std::uint64_t attempt = 0;              // stage at_server
    std::string server;                     // the last one that it was sent to, for the answer's detail
    std::string peer;                       // stage at_peer, forwarded
    std::vector<std::string> refused_peers; // not asked again for this call
    bool own_server_failed = false; // an own server gave no answer: peers are asked before the next one
};

} // namespace carawayway::engine
