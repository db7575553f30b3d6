// A policy in force and the values derived from it. They depend on the policy alone, so all entry instances
// compute the same ones.
#pragma once

#include "carawayway/client_blocks/client_block_table.hpp"
#include "carawayway/config/policy.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace carawayway::engine {

class compiled_policy {
public:
    explicit compiled_policy(config::revisioned_policy source);

    std::int64_t revision() const { return m_source.revision; }
    const std::string& document() const { return m_source.document; }
    const config::policy& content() const { return m_source.content; }

    const config::service_policy* find_service(std::string_view name) const;
    const config::server_policy* find_server(std::string_view name) const;

    // Slots of the server that may be used: its share of the region's capacity, or zero if its region may not
    // serve its service. The sum over a region never exceeds the region's capacity.
    std::uint32_t effective_slots(std::string_view server) const;

    // Home region of a client address; empty if no client block contains it.
    std::string_view home_region(std::string_view client_address) const;

    bool may_serve(const config::service_policy& service, std::string_view region) const;

private:
    void divide_region_capacity(const config::region_policy& region);

    config::revisioned_policy m_source;
    client_blocks::client_block_table m_blocks; // a region index is a position in content().regions
    std::unordered_map<std::string, const config::service_policy*> m_services;
    std::unordered_map<std::string, const config::server_policy*> m_servers;
    std::unordered_map<std::string, std::uint32_t> m_effective_slots;
};

} // namespace carawayway::engine
