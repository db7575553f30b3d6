// Finds the route of a request: by host, then by the longest path prefix.
#pragma once

#include "carawayway/routing/configuration.hpp"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

namespace carawayway::routing {

class route_table {
public:
    explicit route_table(std::shared_ptr<const configuration> source);

    // Ignores the port and the case of `host`; `path` has no query. Null when no route matches.
    const route* find(std::string_view host, std::string_view path) const;

    // Null when the configuration has no such service.
    const service* find_service(std::string_view name) const;

    // Whether requests of different priorities ask for the service, so that some may yield to others.
    bool has_several_priorities(const std::string& service) const;

    // Regions that every route of the host allows. Empty when no route restricts them.
    std::vector<std::string> allowed_regions(std::string_view host) const;

    const configuration& source() const { return *m_source; }

private:
    // Prefixes end with a slash, so each slash in a path ends a candidate for the longest matching prefix.
    using routes_by_prefix = std::unordered_map<std::string_view, const route*>;

    // `of_accounts` go before the priority of a route, unless it is public.
    void add_priorities(const route& item, const std::set<std::uint32_t>& of_accounts);

    std::shared_ptr<const configuration> m_source; // the maps below point into it
    std::unordered_map<std::string, routes_by_prefix> m_hosts;
    std::unordered_map<std::string_view, const service*> m_services;
    std::map<std::string, std::set<std::uint32_t>> m_priorities; // by service
};

// Returns the host of a Host header without the port, in lower case.
std::string normalized_host(std::string_view host);

// Returns the path of a request target without the query.
std::string_view path_of(std::string_view target);

} // namespace carawayway::routing
