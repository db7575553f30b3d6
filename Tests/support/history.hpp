// Events that are recorded during a test run. All timestamps come from the same clock.
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

// Hash of a request body or of an answer body. A truncated body has a different hash.
using body_hash = std::uint64_t;

struct caller_sent {
    std::string id;
    body_hash content = 0;
    config::request_semantics semantics = config::request_semantics::non_idempotent;
};

struct caller_answered {
    std::string id;
    body_hash content = 0; // hash of the body of the answered request
    base::execution_state execution = base::execution_state::unknown;
    body_hash body = 0;
};

struct execution_started {
    std::string id;
    std::string server;
    std::string region;
    body_hash content = 0; // hash of the request body as the server received it
};

struct execution_finished {
    std::string id;
    std::string server;
    body_hash body = 0; // hash of the complete answer
};

struct execution_cancelled {
    std::string id;
    std::string server;
};

// The server went down, which ends all executions on it.
struct server_stopped {
    std::string server;
};

// From this time on, evidence that the server is leaving was available to the entries.
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

// A request from the home region arrived for the first time. Counts moved and unmoved requests, but no
// resends.
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

using history = std::vector<event>; // not necessarily sorted by time

// Reads one flat JSON object per line, for example
// {"event":"caller_sent","time_ns":5,"id":"e.1","content":7,"semantics":"non-idempotent"}
// The keys are the names of the event's members. Values are integers, or strings without escape sequences. On
// an invalid line, sets `last_failure` to frame_invalid with the line number and returns nothing.
std::optional<history> read_history(std::string_view lines, base::failure& last_failure);

} // namespace carawayway::test_support
