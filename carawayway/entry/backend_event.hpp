// Messages between the steering thread and the backend thread.
#pragma once

#include "carawayway/engine/effect.hpp"
#include "carawayway/engine/server_result.hpp"

#include <cstdint>
#include <string>
#include <variant>

namespace carawayway::entry {

// Each started attempt yields exactly one attempt_finished, even if it is cancelled.
using backend_command = std::variant<engine::start_attempt, engine::cancel_attempt, engine::probe_server>;

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
