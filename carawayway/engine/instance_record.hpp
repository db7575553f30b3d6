// A record of the platform's instance list. The list lags behind the state of the servers.
#pragma once

#include <cstdint>
#include <string>

namespace carawayway::engine {

enum class instance_state : std::uint8_t { live, leaving };

struct instance_record {
    std::string service;
    std::string address; // IP:port of the backend server
    instance_state state = instance_state::live;

    bool operator==(const instance_record&) const = default;
};

} // namespace carawayway::engine
