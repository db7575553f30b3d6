// What a gateway learns about backend servers and other gateways, as values.
#pragma once

#include "carawayway/base/time.hpp"

#include <cstdint>
#include <string>

namespace carawayway::fleet {

enum class server_intent : std::uint8_t { serving, leaving };

// What a backend server says about itself.
struct server_registration {
    std::string id;
    std::string service;
    std::string address; // IP:port
    std::string failure_domain;
    std::string software_version;
    std::uint32_t slots = 1; // requests that it runs at once
    server_intent intent = server_intent::serving;
    base::duration cold_left{};  // at the moment the facts were written
    std::int64_t started_at = 0; // Unix milliseconds; a later start under the same ID is a new incarnation

    bool operator==(const server_registration&) const = default;
};

// What a gateway says about itself.
struct gateway_registration {
    std::string name;
    std::string failure_domain;
    std::string region;
    std::string caller_address; // IP:port
    std::string peer_address;   // IP:port

    bool operator==(const gateway_registration&) const = default;
};

} // namespace carawayway::fleet
