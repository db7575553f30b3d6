// Settings of one entry instance, read once at startup.
#pragma once

#include "carawayway/base/log.hpp"
#include "carawayway/base/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace carawayway::config {

// An IP address and a TCP port.
struct socket_address {
    std::string host;       // IPv4 or IPv6 address, not a host name
    std::uint16_t port = 0; // 0: any free port

    bool operator==(const socket_address&) const = default;
};

// A peer that is configured rather than learned from other peers.
struct peer_seed {
    std::string name;
    std::string failure_domain;
    std::string region;
    socket_address peer_address;
    socket_address caller_address;

    bool operator==(const peer_seed&) const = default;
};

struct instance_settings {
    std::string name; // [a-z0-9-]+, unique in the deployment
    std::string failure_domain;
    std::string region;
    socket_address caller_address;
    socket_address peer_address;
    socket_address operator_address{"127.0.0.1", 0};
    std::string deployment_key_file; // file with the shared secret that authenticates peers
    std::string operator_token_file;
    base::log_level log_level = base::log_level::info;

    std::vector<socket_address> platform_addresses;
    std::string policy_key = "/carawayway/policy";
    std::string instance_prefix = "/instances/";
    base::duration platform_timeout = std::chrono::seconds(2);
    base::duration instance_list_interval = std::chrono::seconds(1);

    std::vector<peer_seed> seeds;

    base::duration heartbeat_interval = std::chrono::milliseconds(250);
    base::duration ownership_term = std::chrono::seconds(3);
    base::duration pause_limit = std::chrono::milliseconds(500);
    base::duration revalidation_time = std::chrono::seconds(1);

    std::uint32_t caller_connections = 1024;
    std::uint32_t header_limit = 16U << 10U; // bytes
    std::uint32_t body_limit = 1U << 20U;    // bytes
    base::duration idle_timeout = std::chrono::seconds(60);
    std::uint32_t request_table_limit = 200000; // records of non-idempotent requests kept at once

    bool operator==(const instance_settings&) const = default;
};

} // namespace carawayway::config
