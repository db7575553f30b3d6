// Events of one recorded run, as values. All times are on one clock.
#pragma once

#include "carawayway/base/error_kind.hpp"
#include "carawayway/base/time.hpp"
#include "carawayway/config/policy.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace carawayway::test_support {

// Hash of a request's content or of an answer's body; a body that was cut short has another hash.
using body_hash = std::uint64_t;

struct caller_sent {
    std::string id;
    body_hash content = 0;
    config::request_semantics semantics = config::request_semantics::non_idempotent;
};

struct caller_answered {
    std::string id;
    body_hash content = 0; // of the request that was answered
    base::execution_state execution = base::execution_state::unknown;
    body_hash body = 0;
};

struct execution_started {
    std::string id;
    std::string server;
    std::string region;
    body_hash content = 0; // as the server received it
};

struct execution_finished {
    std::string id;
    std::string server;
    body_hash body = 0; // of the whole answer
};

struct execution_cancelled {
    std::string id;
    std::string server;
};

// Ends all executions on the server.
struct server_stopped {
    std::string server;
};

// Evidence that the server leaves could be seen from now on.
struct drain_effective {
    std::string server;
};

struct drain_ended {
    std::string server;
};

struct revision_seen {
    std::string entry;
    std::uint64_t incarnation = 0;
    std::int64_t revision = 0;
};

struct request_moved {
    std::string service;
    std::string home_region;
    std::string serving_region;
};

// A first-time request from the home region, moved or not.
struct request_arrived {
    std::string service;
    std::string home_region;
};

using event_content =
    std::variant<caller_sent, caller_answered, execution_started, execution_finished, execution_cancelled,
                 server_stopped, drain_effective, drain_ended, revision_seen, request_moved, request_arrived>;

struct event {
    base::time_point time;
    event_content content;
};

using history = std::vector<event>; // in any order

// Reads one flat JSON object per line, for example
// {"event":"caller_sent","time_ns":5,"id":"e.1","content":7,"semantics":"non-idempotent"}
// The keys are the members of the event. Values are integers or strings without escapes. Fails with
// frame_invalid and the line number.
std::optional<history> read_history(std::string_view lines, base::failure& last_failure);

} // namespace carawayway::test_support
