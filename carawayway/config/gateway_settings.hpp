// Settings of one gateway on a platform that lists the servers and routes itself.
#pragma once

#include "carawayway/base/log.hpp"
#include "carawayway/config/instance_settings.hpp"

#include <map>
#include <string>
#include <vector>

namespace carawayway::config {

struct gateway_settings {
    std::string name;
    std::string failure_domain;
    std::string region;
    socket_address caller_address;
    socket_address readiness_address;
    socket_address lookup_address;
    socket_address peer_address;                   // for other gateways
    std::optional<socket_address> metrics_address; // nothing: metrics are not served
    std::vector<socket_address> seeds;             // peer addresses to ask while the store does not answer
    std::string bounds;                            // in the platform's form
    base::log_level log_level = base::log_level::info;

    socket_address store_address;
    base::duration shortest_lease = std::chrono::seconds{1};

    std::uint32_t caller_connections = 3000;
    std::uint32_t largest_body_bytes = 64U << 20U; // of a request, which is held whole

    std::map<std::string, std::string> region_of_domain;

    bool operator==(const gateway_settings&) const = default;
};

} // namespace carawayway::config
