// Indexes a configuration and looks up routes.
#include "carawayway/routing/route_table.hpp"

#include <algorithm>
#include <cctype>

namespace carawayway::routing {

route_table::route_table(std::shared_ptr<const configuration> source) : m_source(std::move(source)) {
    for (const auto& item : m_source->services) {
        m_services.emplace(item.name, &item);
    }
    std::set<std::uint32_t> of_accounts;
    for (const auto& account : m_source->accounts) {
        of_accounts.insert(account.priority);
    }
    for (const auto& host : m_source->hosts) {
        auto& routes = m_hosts[normalized_host(host.host)];
        for (const auto& item : host.routes) {
            routes.emplace(item.prefix, &item);
            add_priorities(item, of_accounts);
        }
    }
}

void route_table::add_priorities(const route& item, const std::set<std::uint32_t>& of_accounts) {
    const std::set<std::uint32_t> of_route{item.priority};
    const auto& added = of_accounts.empty() || item.is_public ? of_route : of_accounts;
    for (const auto& target : item.targets) {
        m_priorities[target.service].insert(added.begin(), added.end());
    }
}

bool route_table::has_several_priorities(const std::string& service) const {
    const auto found = m_priorities.find(service);
    return found != m_priorities.end() && found->second.size() > 1;
}

const route* route_table::find(std::string_view host, std::string_view path) const {
    const auto routes = m_hosts.find(normalized_host(host));
    if (routes == m_hosts.end()) {
        return nullptr;
    }
    for (auto slash = path.rfind('/'); slash != std::string_view::npos; slash = path.rfind('/', slash - 1)) {
        const auto found = routes->second.find(path.substr(0, slash + 1));
        if (found != routes->second.end()) {
            return found->second;
        }
        if (slash == 0) {
            break;
        }
    }
    return nullptr;
}

const service* route_table::find_service(std::string_view name) const {
    const auto found = m_services.find(name);
    return found == m_services.end() ? nullptr : found->second;
}

std::vector<std::string> route_table::allowed_regions(std::string_view host) const {
    const auto routes = m_hosts.find(normalized_host(host));
    std::vector<std::string> common;
    bool restricted = false;
    if (routes == m_hosts.end()) {
        return common;
    }
    for (const auto& entry : routes->second) {
        const auto& allowed = entry.second->allowed_regions;
        if (allowed.empty()) {
            continue;
        }
        if (!restricted) {
            common = allowed;
            restricted = true;
            continue;
        }
        std::erase_if(common, [&allowed](const std::string& region) {
            return std::find(allowed.begin(), allowed.end(), region) == allowed.end();
        });
    }
    return common;
}

std::string normalized_host(std::string_view host) {
    const auto colon = host.rfind(':');
    if (colon != std::string_view::npos && host.find(']', colon) == std::string_view::npos) {
        host = host.substr(0, colon);
    }
    std::string lower(host);
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
    return lower;
}

std::string_view path_of(std::string_view target) {
    return target.substr(0, target.find('?'));
}

} // namespace carawayway::routing
