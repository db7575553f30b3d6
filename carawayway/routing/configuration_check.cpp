// Checks the parts of a configuration one after the other.
#include "carawayway/routing/configuration_check.hpp"

#include "carawayway/routing/key_fingerprint.hpp"
#include "carawayway/routing/route_table.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace carawayway::routing {

namespace {

class configuration_checker {
public:
    configuration_checker(const configuration& proposed, const deployment_limits& deployment)
        : m_proposed(proposed), m_deployment(deployment) {}

    std::vector<configuration_finding> run() {
        check_services();
        check_hosts();
        check_limits();
        check_accounts();
        return std::move(m_findings);
    }

private:
    void add(finding_kind kind, std::string location, std::string message) {
        m_findings.push_back({finding_severity::warning, kind, std::move(location), std::move(message)});
    }

    void check_services() {
        for (const auto& item : m_proposed.services) {
            if (!m_services.insert(item.name).second) {
                add(finding_kind::duplicate_service, fmt::format("service {}", quoted(item.name)),
                    "listed twice: gateways use parts of either entry");
            }
        }
    }

    void check_hosts() {
        std::unordered_map<std::string, std::map<std::string_view, std::size_t>> prefixes_by_host;
        for (const auto& host : m_proposed.hosts) {
            const auto [known, is_new] = prefixes_by_host.try_emplace(normalized_host(host.host));
            const auto host_location = fmt::format("host {}", quoted(host.host));
            if (!is_new) {
                add(finding_kind::duplicate_host, host_location,
                    "listed twice: gateways add the routes of the entries together");
            }
            for (const auto& item : host.routes) {
                const auto number = ++m_route_number;
                const auto location = fmt::format("{}, route {} (number {} of the configuration)",
                                                  host_location, quoted(item.name), number);
                const auto [earlier, is_first] = known->second.emplace(item.prefix, number);
                if (!is_first) {
                    add(finding_kind::duplicate_prefix, location,
                        fmt::format("never matches: route number {} of this host has the same prefix {}",
                                    earlier->second, quoted(item.prefix)));
                }
                check_route(item, location);
            }
        }
        for (const auto& semantics : m_proposed.unknown_semantics) {
            add(finding_kind::unknown_semantics, "routes",
                fmt::format("kind {} is not known: its requests are never repeated", quoted(semantics)));
        }
    }

    void check_route(const route& item, const std::string& location) {
        const bool can_match = item.prefix.starts_with('/') && item.prefix.ends_with('/') &&
                               item.prefix.find('?') == std::string::npos;
        if (!can_match) {
            add(finding_kind::unmatchable_prefix, location,
                fmt::format("never matches: prefix {} does not begin and end with a slash, or has a query",
                            quoted(item.prefix)));
        }
        check_targets(item, location);
        check_regions(item.allowed_regions, location);
        if (item.timeout <= base::duration::zero()) {
            add(finding_kind::no_timeout, location, "without a timeout above 0 no request is in time");
        } else if (item.target_latency > item.timeout) {
            add(finding_kind::target_above_timeout, location,
                fmt::format("target latency {} ms is above the timeout {} ms",
                            base::to_milliseconds(item.target_latency), base::to_milliseconds(item.timeout)));
        }
    }

    void check_targets(const route& item, const std::string& location) {
        const bool has_weight =
            std::any_of(item.targets.begin(), item.targets.end(),
                        [](const weighted_service& target) { return target.weight > 0.0; });
        if (!has_weight) {
            add(finding_kind::zero_weight, location,
                "all weights are 0: the first service gets all requests");
        }
        for (const auto& target : item.targets) {
            if (!m_services.contains(target.service)) {
                add(finding_kind::unlisted_service, location,
                    fmt::format("service {} is not listed: gateways cannot check the health of its servers",
                                quoted(target.service)));
            }
            check_servers(item, target.service, location);
            if (has_weight && target.weight <= 0.0) {
                add(finding_kind::zero_weight, location,
                    fmt::format("service {} has weight 0 and gets no request", quoted(target.service)));
            }
        }
    }

    // Each attempt of a request goes to another server.
    void check_servers(const route& item, const std::string& service, const std::string& location) {
        if (!m_deployment.servers_by_service) {
            return;
        }
        const auto found = m_deployment.servers_by_service->find(service);
        const std::size_t servers = found == m_deployment.servers_by_service->end() ? 0 : found->second;
        if (item.maximum_attempts > servers) {
            add(finding_kind::attempts_above_servers, location,
                fmt::format("{} attempts are more than the servers of service {} ({})", item.maximum_attempts,
                            quoted(service), servers));
        }
    }

    void check_regions(const std::vector<std::string>& regions, const std::string& location) {
        for (const auto& region : regions) {
            if (!m_deployment.regions.empty() && !m_deployment.regions.contains(region)) {
                add(finding_kind::unknown_region, location,
                    fmt::format("no failure domain is in region {}", quoted(region)));
            }
        }
    }

    void check_limits() {
        const auto& limits = m_proposed.limits;
        if (limits.header_bytes == 0) {
            add(finding_kind::zero_limit, "limits", "a header limit of 0 bytes rejects all requests");
        }
        if (limits.header_timeout <= base::duration::zero()) {
            add(finding_kind::zero_limit, "limits", "a header timeout of 0 ms rejects all requests");
        }
        if (limits.idle_timeout < limits.header_timeout) {
            add(finding_kind::idle_below_header_timeout, "limits",
                fmt::format("idle timeout {} ms is below the header timeout {} ms",
                            base::to_milliseconds(limits.idle_timeout),
                            base::to_milliseconds(limits.header_timeout)));
        }
        const auto largest = m_deployment.largest_body_bytes;
        if (largest && limits.body_bytes > *largest) {
            add(finding_kind::body_limit_above_memory, "limits",
                fmt::format(
                    "body limit {} bytes is above the {} bytes that a gateway with these settings holds",
                    limits.body_bytes, *largest));
        }
    }

    void check_accounts() {
        std::unordered_map<std::string_view, const client_account*> owners;
        std::unordered_set<std::string_view> names;
        for (const auto& account : m_proposed.accounts) {
            const auto location = fmt::format("account {}", quoted(account.name));
            if (!names.insert(account.name).second) {
                add(finding_kind::duplicate_account, location,
                    "listed twice: gateways use parts of either entry");
            }
            if (account.api_keys.empty()) {
                add(finding_kind::account_without_keys, location, "no caller can use it without keys");
            }
            for (const auto& key : account.api_keys) {
                check_key(key, location);
                const auto [owner, is_new] = owners.emplace(key, &account);
                if (!is_new && owner->second != &account) {
                    add(finding_kind::shared_key, location,
                        fmt::format("key {} admits nobody: account {} has it too", key_fingerprint(key),
                                    quoted(owner->second->name)));
                }
            }
            check_regions(account.allowed_regions, location);
            check_quota(account.quota, location);
        }
    }

    // Spaces around the value of a header are not part of it.
    void check_key(std::string_view key, const std::string& location) {
        const auto is_control = [](char character) {
            return static_cast<unsigned char>(character) < ' ' || character == '\x7f';
        };
        const bool is_usable = !key.empty() && key.front() != ' ' && key.back() != ' ' &&
                               std::none_of(key.begin(), key.end(), is_control);
        if (!is_usable) {
            add(finding_kind::unusable_key, location,
                fmt::format("key {} is empty, or has spaces or control characters that no header carries",
                            key_fingerprint(key)));
        }
    }

    void check_quota(const request_quota& quota, const std::string& location) {
        if (quota.is_limited() && quota.burst < 1.0) {
            add(finding_kind::burst_below_one, location,
                fmt::format("burst {} is below one request: gateways use 1", quota.burst));
        }
        if (!quota.is_limited() && quota.burst > 0.0) {
            add(finding_kind::burst_without_rate, location,
                fmt::format("burst {} has no effect without a rate", quota.burst));
        }
    }

    const configuration& m_proposed;
    const deployment_limits& m_deployment;
    std::unordered_set<std::string_view> m_services; // listed ones
    std::size_t m_route_number = 0;                  // of the last route that was checked; starts at 1
    std::vector<configuration_finding> m_findings;
};

} // namespace

std::vector<configuration_finding> check_configuration(const configuration& proposed,
                                                       const deployment_limits& deployment) {
    return configuration_checker(proposed, deployment).run();
}

} // namespace carawayway::routing
