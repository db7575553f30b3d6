// What is known of the gateways for which a configuration is checked.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace carawayway::routing {

struct deployment_limits {
    // Of a request that a gateway can hold. Absent: not known.
    std::optional<std::uint64_t> largest_body_bytes;
    std::set<std::string, std::less<>> regions; // that have a failure domain; empty: not known

    // Services without an entry have no server. Absent: not known.
    std::optional<std::map<std::string, std::size_t, std::less<>>> servers_by_service;

    bool operator==(const deployment_limits&) const = default;
};

} // namespace carawayway::routing
