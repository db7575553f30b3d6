// Messages between the caller thread and the steering thread. `token` identifies the request of a caller; its
// reply has the same token.
#pragma once

#include "carawayway/engine/lookup_response.hpp"
#include "carawayway/engine/service_request.hpp"

#include <cstdint>
#include <string>
#include <variant>

namespace carawayway::entry {

struct request_received {
    std::uint64_t token = 0;
    engine::request_ptr request;
};

struct lookup_received {
    std::uint64_t token = 0;
    std::string service;
    std::string client_address;
};

// The caller closed its connection before it got a reply.
struct caller_left {
    std::uint64_t token = 0;
};

struct readiness_requested {
    std::uint64_t token = 0;
};

using caller_event = std::variant<request_received, lookup_received, caller_left, readiness_requested>;

struct readiness {
    enum class state : std::uint8_t { ready, not_ready } value = state::not_ready;
    std::string reason;
};

// The only reply for a token. Each token gets one, unless its caller has left.
struct caller_reply {
    std::uint64_t token = 0;
    std::variant<engine::response_ptr, engine::lookup_response, readiness> content;
};

} // namespace carawayway::entry
