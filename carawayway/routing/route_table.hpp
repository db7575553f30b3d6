// Finds the route of a request: by host, then by the longest path prefix.
#pragma once

#include "carawayway/routing/configuration.hpp"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace carawayway::routing {

class route_table {
public:
    explicit route_table(std::shared_ptr<const configuration> source);

    // `host` without port, in any case; `path` without query. Null when no route matches.
    const route* find(std::string_view host, std::string_view path) const;

    // Null when the configuration has no such service.
    const service* find_service(std::string_view name) const;

    // Regions that may serve every route of the host; empty when any region may.
    std::vector<std::string> allowed_regions(std::string_view host) const;

    const configuration& source() const { return *m_source; }

private:
    // Prefixes end with a slash, so that each slash of a path ends one candidate for the longest prefix.
    using routes_by_prefix = std::unordered_map<std::string_view, const route*>;

    std::shared_ptr<const configuration> m_source; // the maps below point into it
    std::unordered_map<std::string, routes_by_prefix> m_hosts;
    std::unordered_map<std::string_view, const service*> m_services;
};

// The host of a Host header without its port, in lower case.
std::string normalized_host(std::string_view host);

// The path of a request target without its query.
std::string_view path_of(std::string_view target);

} // namespace carawayway::routing
