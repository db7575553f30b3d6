// The lifecycle of a non-idempotent request at the incarnation that controls its execution.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace carawayway::requests {

enum class request_state : std::uint8_t {
    received,   // not sent to any server yet
    dispatched, // may have reached a server
    finished,   // final, after a dispatch
    refused,    // final, without a dispatch
};

enum class request_event : std::uint8_t { dispatch, finish };

// Returns the state after `event`; none if the event is not allowed in `state`. A second dispatch is not
// allowed, and final states have no transitions.
std::optional<request_state> next_state(request_state state, request_event event);

std::string_view to_string(request_state state);

} // namespace carawayway::requests
