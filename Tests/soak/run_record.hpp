// What backend servers ran and what callers saw, request by request.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace carawayway::soak {

using clock = std::chrono::steady_clock;

enum class request_semantics : std::uint8_t { idempotent, non_idempotent };

struct run {
    std::string server;
    clock::time_point began;
};

struct attempt {
    std::string request_id;
    request_semantics semantics = request_semantics::idempotent;
    std::size_t gateway = 0;
    clock::time_point sent;
    clock::time_point ended;
    unsigned status = 0; // 0: the connection ended or nothing came in time
    bool own_body = false;
    bool was_written = false;
};

// Used on the loop's thread only, until it has ended.
struct run_record {
    std::map<std::string, std::vector<run>> runs; // by request
    std::vector<attempt> attempts;
};

} // namespace carawayway::soak
