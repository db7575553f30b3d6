// What backend servers and gateways register in the store about themselves.
#pragma once

#include "carawayway/base/time.hpp"

#include <cstdint>
#include <string>

namespace carawayway::fleet {

enum class server_intent : std::uint8_t { serving, leaving };

// Registration of a backend server.
struct server_registration {
    std::string id;
    std::string service;
    std::string address; // IP:port
    std::string failure_domain;
    std::string software_version;
    std::uint32_t slots = 1; // maximum number of requests that it runs at once
    server_intent intent = server_intent::serving;
    base::duration cold_left{};  // remaining cold time when the registration was written
    std::int64_t started_at = 0; // Unix milliseconds; a later start under the same ID is a new incarnation

    bool operator==(const server_registration&) const = default;
};

// Registration of a gateway.
struct gateway_registration {
    std::string name;
    std::string failure_domain;
    std::string region;
    std::string caller_address; // IP:port
    std::string peer_address;   // IP:port
    std::string notice_address; // IP:port for datagrams; empty if it takes none

    bool operator==(const gateway_registration&) const = default;
};

} // namespace carawayway::fleet
