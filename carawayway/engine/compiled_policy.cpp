// Divides the capacity of regions among their servers and builds the client block table.
#include "carawayway/engine/compiled_policy.hpp"

#include <algorithm>
#include <utility>

namespace carawayway::engine {

namespace {

client_blocks::client_block_table make_table(const config::policy& policy) {
    std::vector<client_blocks::client_block> blocks;
    for (const auto& block : policy.client_blocks) {
        const auto prefix = client_blocks::address_prefix::parse(block.prefix);
        const auto region = std::find_if(policy.regions.begin(), policy.regions.end(),
                                         [&block](const auto& item) { return item.name == block.region; });
        if (prefix && region != policy.regions.end()) {
            blocks.push_back(
                {*prefix, static_cast<client_blocks::region_index>(region - policy.regions.begin())});
        }
    }
    return client_blocks::client_block_table(std::move(blocks));
}

} // namespace

compiled_policy::compiled_policy(config::revisioned_policy source)
    : m_source(std::move(source)), m_blocks(make_table(m_source.content)) {
    for (const auto& service : m_source.content.services) {
        m_services.emplace(service.name, &service);
    }
    for (const auto& server : m_source.content.servers) {
        m_servers.emplace(server.name, &server);
    }
    for (const auto& region : m_source.content.regions) {
        divide_region_capacity(region);
    }
}

const config::service_policy* compiled_policy::find_service(std::string_view name) const {
    const auto found = m_services.find(std::string(name));
    return found == m_services.end() ? nullptr : found->second;
}

const config::server_policy* compiled_policy::find_server(std::string_view name) const {
    const auto found = m_servers.find(std::string(name));
    return found == m_servers.end() ? nullptr : found->second;
}

std::uint32_t compiled_policy::effective_slots(std::string_view server) const {
    const auto found = m_effective_slots.find(std::string(server));
    return found == m_effective_slots.end() ? 0 : found->second;
}

std::string_view compiled_policy::home_region(std::string_view client_address) const {
    const auto address = client_blocks::client_address::parse(client_address);
    if (!address) {
        return {};
    }
    const auto home = m_blocks.find(*address);
    return home ? std::string_view{m_source.content.regions.at(*home).name} : std::string_view{};
}

bool compiled_policy::may_serve(const config::service_policy& service, std::string_view region) const {
    return service.regions.empty() ||
           std::find(service.regions.begin(), service.regions.end(), region) != service.regions.end();
}

// Largest remainder method: each server gets its share rounded down, and the remaining slots go to the
// servers with the largest fractions. Ties are broken by name, so that all entry instances compute the same
// numbers.
void compiled_policy::divide_region_capacity(const config::region_policy& region) {
    struct share {
        std::string_view server;
        std::uint64_t slots;
        std::uint64_t remainder;
    };
    std::vector<share> shares;
    std::uint64_t total = 0;
    for (const auto& server : m_source.content.servers) {
        const auto* service = find_service(server.service);
        if (m_source.content.region_of(server.failure_domain) == region.name && service != nullptr &&
            may_serve(*service, region.name)) {
            shares.push_back({server.name, server.slots, 0});
            total += server.slots;
        }
    }
    const std::uint64_t capacity = region.capacity ? std::min<std::uint64_t>(*region.capacity, total) : total;
    std::uint64_t left = capacity;
    for (auto& item : shares) {
        const std::uint64_t scaled = item.slots * capacity;
        item.slots = scaled / total;
        item.remainder = scaled % total;
        left -= item.slots;
    }
    std::sort(shares.begin(), shares.end(), [](const share& one, const share& other) {
        return one.remainder != other.remainder ? one.remainder > other.remainder : one.server < other.server;
    });
    for (auto& item : shares) {
        const std::uint64_t extra = left > 0 && item.remainder > 0 ? 1 : 0;
        left -= extra;
        m_effective_slots[std::string(item.server)] = static_cast<std::uint32_t>(item.slots + extra);
    }
}

} // namespace carawayway::engine
