// Settings of one gateway. Servers and routes are not part of them; the gateway reads these from the store.
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
    socket_address peer_address;                   // other gateways connect here
    std::optional<socket_address> metrics_address; // absent: metrics are not served
    // UDP; other gateways send notices of crashes here. Absent: this gateway neither sends nor gets any.
    std::optional<socket_address> notice_address;
    // UDP; gateways share the quotas of client accounts here. Absent: this gateway uses a fixed part of each.
    std::optional<socket_address> quota_address;
    // Other gateways send requests here while they reach no server. Absent: this gateway takes none.
    std::optional<socket_address> relay_address;
    std::vector<socket_address> seeds; // peer addresses to query during a store outage
    std::string bounds;                // limits in the platform's own text format
    base::log_level log_level = base::log_level::info;

    socket_address store_address;
    base::duration shortest_lease = std::chrono::seconds{1}; // shortest lease that the store grants

    std::uint32_t caller_connections = 3000;
    std::uint32_t relayed_requests = 128;          // of other gateways, at once
    std::uint32_t largest_body_bytes = 64U << 20U; // of a request; the whole body is buffered

    double link_megabits = 0.0;      // of the machine, per second in each direction; 0: unknown
    double memory_megabytes = 160.0; // that this process may use
    double processor_share = 0.0;    // of one core that this process may use; 0: unknown

    std::map<std::string, std::string> region_of_domain;

    bool operator==(const gateway_settings&) const = default;
};

} // namespace carawayway::config
