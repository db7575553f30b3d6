// LRU bookkeeping of objects and the servers that handled them.
#include "carawayway/placement/affinity_cache.hpp"

#include <algorithm>

namespace carawayway::placement {

void affinity_cache::record(std::uint64_t object, std::uint64_t server) {
    auto found = m_entries.find(object);
    if (found == m_entries.end()) {
        if (m_entries.size() >= m_capacity && !m_order.empty()) {
            m_entries.erase(m_order.back());
            m_order.pop_back();
        }
        m_order.push_front(object);
        found = m_entries.emplace(object, entry{{}, m_order.begin()}).first;
    } else {
        m_order.splice(m_order.begin(), m_order, found->second.position);
    }
    auto& servers = found->second.servers;
    const auto existing = std::find(servers.begin(), servers.end(), server);
    std::rotate(servers.begin(), existing == servers.end() ? servers.end() - 1 : existing, servers.end());
    if (servers.front() != server) {
        servers.front() = server;
    }
}

bool affinity_cache::contains(std::uint64_t object, std::uint64_t server) const {
    const auto found = m_entries.find(object);
    return found != m_entries.end() && std::find(found->second.servers.begin(), found->second.servers.end(),
                                                 server) != found->second.servers.end();
}

std::uint64_t affinity_cache::latest_server(std::uint64_t object) const {
    const auto found = m_entries.find(object);
    return found == m_entries.end() ? 0 : found->second.servers.front();
}

} // namespace carawayway::placement
