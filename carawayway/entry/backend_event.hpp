// Messages between the steering thread and the backend thread.
#pragma once

#include "carawayway/engine/server_result.hpp"
#include "carawayway/engine/service_request.hpp"

#include <cstdint>
#include <string>
#include <variant>

namespace carawayway::entry {

// Runs one attempt. Each attempt yields exactly one result, also after it was cancelled.
struct start_attempt {
    std::uint64_t attempt = 0; // never reused
    std::string address;       // IP:port of the backend server
    std::string request_id;    // sent as X-Request-Id; the server's answer must carry the same one, if any
    engine::request_ptr request;
    base::duration timeout{};
};

struct cancel_attempt {
    std::uint64_t attempt = 0;
};

// Asks whether the server accepts a connection; used before its ownership is taken over.
struct probe_server {
    std::string server;
    std::string address;
};

using backend_command = std::variant<start_attempt, cancel_attempt, probe_server>;

struct attempt_finished {
    std::uint64_t attempt = 0;
    engine::server_result result;
};

struct server_probed {
    std::string server;
    enum class reachability : std::uint8_t { reachable, unreachable } result = reachability::unreachable;
};

using backend_event = std::variant<attempt_finished, server_probed>;

} // namespace carawayway::entry
