// Compares two configurations by the names of their parts.
#include "carawayway/routing/configuration_difference.hpp"

#include "carawayway/routing/key_fingerprint.hpp"
#include "carawayway/routing/region_restriction.hpp"
#include "carawayway/routing/route_table.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <utility>

namespace carawayway::routing {

namespace {

using route_key = std::pair<std::string, std::string_view>; // host and prefix

std::string time_text(base::duration time) {
    return fmt::format("{} ms", std::chrono::duration<double, std::milli>(time).count());
}

std::string list_text(const std::vector<std::string>& items) {
    std::vector<std::string> texts(items.size());
    std::transform(items.begin(), items.end(), texts.begin(),
                   [](const std::string& item) { return quoted(item); });
    return fmt::format("[{}]", fmt::join(texts, ", "));
}

std::string targets_text(const std::vector<weighted_service>& targets) {
    std::vector<std::string> texts(targets.size());
    std::transform(targets.begin(), targets.end(), texts.begin(), [](const weighted_service& target) {
        return fmt::format("{} with weight {}", quoted(target.service), target.weight);
    });
    return fmt::format("[{}]", fmt::join(texts, ", "));
}

std::string quota_text(const request_quota& quota) {
    return quota.is_limited()
               ? fmt::format("{} requests/s with burst {}", quota.requests_per_second, quota.burst)
               : "no limit";
}

std::string_view semantics_text(request_semantics semantics) {
    return semantics == request_semantics::idempotent ? "idempotent" : "non-idempotent";
}

// Describes the fields that differ, with both values.
class change_list {
public:
    void add(std::string_view field, const std::string& before, const std::string& after) {
        if (before != after) {
            m_changes.push_back(fmt::format("{} {} -> {}", field, before, after));
        }
    }

    template <class Value>
    void add_value(std::string_view field, const Value& before, const Value& after) {
        add(field, fmt::format("{}", before), fmt::format("{}", after));
    }

    bool empty() const { return m_changes.empty(); }
    std::string text() const { return fmt::format("{}", fmt::join(m_changes, ", ")); }

private:
    std::vector<std::string> m_changes;
};

change_list changes_of(const service& before, const service& after) {
    change_list changes;
    changes.add("health path", quoted(before.health_path), quoted(after.health_path));
    changes.add_value("connections", before.maximum_connections, after.maximum_connections);
    changes.add("cold start", time_text(before.cold_start), time_text(after.cold_start));
    changes.add_value("requests/s while cold", before.cold_requests_per_second,
                      after.cold_requests_per_second);
    return changes;
}

change_list changes_of(const route& before, const route& after) {
    change_list changes;
    changes.add("name", quoted(before.name), quoted(after.name));
    changes.add("services", targets_text(before.targets), targets_text(after.targets));
    changes.add("regions", list_text(before.allowed_regions), list_text(after.allowed_regions));
    changes.add_value("requests", semantics_text(before.semantics), semantics_text(after.semantics));
    changes.add("timeout", time_text(before.timeout), time_text(after.timeout));
    changes.add("target latency", time_text(before.target_latency), time_text(after.target_latency));
    changes.add_value("priority", before.priority, after.priority);
    changes.add_value("attempts", before.maximum_attempts, after.maximum_attempts);
    changes.add_value("affinity", before.keeps_affinity, after.keeps_affinity);
    changes.add_value("public", before.is_public, after.is_public);
    return changes;
}

change_list changes_of(const caller_limits& before, const caller_limits& after) {
    change_list changes;
    changes.add_value("header bytes", before.header_bytes, after.header_bytes);
    changes.add_value("body bytes", before.body_bytes, after.body_bytes);
    changes.add("header timeout", time_text(before.header_timeout), time_text(after.header_timeout));
    changes.add("idle timeout", time_text(before.idle_timeout), time_text(after.idle_timeout));
    return changes;
}

// A burst below one request counts as one.
bool is_lower(const request_quota& quota, const request_quota& than) {
    if (!quota.is_limited() || !than.is_limited()) {
        return quota.is_limited();
    }
    return quota.requests_per_second < than.requests_per_second ||
           std::max(1.0, quota.burst) < std::max(1.0, than.burst);
}

bool is_stricter(const caller_limits& before, const caller_limits& after) {
    return after.header_bytes < before.header_bytes || after.body_bytes < before.body_bytes;
}

template <class Item>
std::map<std::string_view, const Item*> by_name(const std::vector<Item>& items) {
    std::map<std::string_view, const Item*> result;
    for (const auto& item : items) {
        result.emplace(item.name, &item);
    }
    return result;
}

std::map<route_key, const route*> routes_of(const configuration& source) {
    std::map<route_key, const route*> result;
    for (const auto& host : source.hosts) {
        for (const auto& item : host.routes) {
            result.emplace(route_key{normalized_host(host.host), item.prefix}, &item);
        }
    }
    return result;
}

// The account that each key admits; null for a key of two accounts, which admits nobody.
using key_owners = std::unordered_map<std::string_view, const client_account*>;

key_owners owners_of_keys(const configuration& source) {
    key_owners result;
    for (const auto& account : source.accounts) {
        for (const auto& key : account.api_keys) {
            const auto [known, is_new] = result.emplace(key, &account);
            if (!is_new && known->second != &account) {
                known->second = nullptr;
            }
        }
    }
    return result;
}

bool requires_key(const configuration& source, const route& item) {
    return !source.accounts.empty() && !item.is_public;
}

// Whether no region may serve requests of the account on the route.
bool excludes_all_regions(const client_account& account, const route& item) {
    return !item.is_public && region_restriction::from_list(item.allowed_regions)
                                  .restricted_by(region_restriction::from_list(account.allowed_regions))
                                  .allows_none();
}

std::string location_of(const route_key& key) {
    return fmt::format("host {}, prefix {}", quoted(key.first), quoted(key.second));
}

std::string account_location(std::string_view name) {
    return fmt::format("account {}", quoted(name));
}

class difference_finder {
public:
    difference_finder(const configuration& in_force, const configuration& proposed)
        : m_in_force(in_force), m_proposed(proposed), m_routes_before(routes_of(in_force)),
          m_routes_after(routes_of(proposed)), m_accounts_before(by_name(in_force.accounts)),
          m_accounts_after(by_name(proposed.accounts)) {}

    std::vector<configuration_finding> run() {
        if (m_in_force == m_proposed) {
            return {};
        }
        compare_versions();
        compare_services();
        compare_routes();
        compare_limits();
        compare_accounts();
        compare_keys();
        compare_common_regions();
        return std::move(m_findings);
    }

private:
    void add(finding_severity severity, finding_kind kind, std::string location, std::string message) {
        m_findings.push_back({severity, kind, std::move(location), std::move(message)});
    }
    void note(finding_kind kind, std::string location, std::string message) {
        add(finding_severity::note, kind, std::move(location), std::move(message));
    }
    void warn(finding_kind kind, std::string location, std::string message) {
        add(finding_severity::warning, kind, std::move(location), std::move(message));
    }

    void compare_versions() {
        if (m_proposed.version < m_in_force.version) {
            add(finding_severity::error, finding_kind::older_version, "version",
                fmt::format("{:x} is below {:x} in force: gateways ignore it and keep the one in force",
                            m_proposed.version, m_in_force.version));
        }
        if (m_proposed.version == m_in_force.version) {
            warn(finding_kind::same_version, "version",
                 fmt::format("{:x} is also that of the different configuration in force: logs and gateways "
                             "cannot tell them apart",
                             m_proposed.version));
        }
    }

    void compare_services() {
        const auto before = by_name(m_in_force.services);
        const auto after = by_name(m_proposed.services);
        for (const auto& [name, item] : before) {
            const auto location = fmt::format("service {}", quoted(name));
            const auto found = after.find(name);
            if (found == after.end()) {
                note(finding_kind::service_removed, location, "removed");
            } else if (const auto changes = changes_of(*item, *found->second); !changes.empty()) {
                note(finding_kind::service_changed, location, changes.text());
            }
        }
        for (const auto& [name, item] : after) {
            if (!before.contains(name)) {
                note(finding_kind::service_added, fmt::format("service {}", quoted(name)), "added");
            }
        }
    }

    void compare_routes() {
        const route_table table(std::make_shared<const configuration>(m_proposed));
        for (const auto& [key, item] : m_routes_before) {
            const auto found = m_routes_after.find(key);
            const route* const successor =
                found == m_routes_after.end() ? table.find(key.first, key.second) : found->second;
            if (successor == nullptr) {
                warn(finding_kind::route_removed, location_of(key), "removed: callers get 404");
                continue;
            }
            if (found == m_routes_after.end()) {
                note(finding_kind::route_removed, location_of(key),
                     fmt::format("removed: its requests go to the route of prefix {}",
                                 quoted(successor->prefix)));
            } else if (const auto changes = changes_of(*item, *successor); !changes.empty()) {
                note(finding_kind::route_changed, location_of(key), changes.text());
            }
            compare_access(location_of(key), *item, *successor);
        }
        for (const auto& [key, item] : m_routes_after) {
            if (!m_routes_before.contains(key)) {
                note(finding_kind::route_added, location_of(key),
                     fmt::format("added: services {}", targets_text(item->targets)));
            }
        }
    }

    void compare_access(const std::string& location, const route& before, const route& after) {
        const bool required_key = requires_key(m_in_force, before);
        const bool requires_key_now = requires_key(m_proposed, after);
        if (!required_key && requires_key_now) {
            warn(finding_kind::key_required, location, "callers without an API key get 401");
        }
        if (required_key && !requires_key_now) {
            warn(finding_kind::key_not_required, location,
                 "callers need no API key any more; quotas and regions of accounts do not hold");
        }
    }

    void compare_limits() {
        const auto changes = changes_of(m_in_force.limits, m_proposed.limits);
        if (changes.empty()) {
            return;
        }
        if (is_stricter(m_in_force.limits, m_proposed.limits)) {
            warn(finding_kind::limits_changed, "limits",
                 changes.text() + ": requests above the limits get 431 or 413");
            return;
        }
        note(finding_kind::limits_changed, "limits", changes.text());
    }

    void compare_accounts() {
        for (const auto& [name, account] : m_accounts_before) {
            const auto found = m_accounts_after.find(name);
            if (found == m_accounts_after.end()) {
                note(finding_kind::account_removed, account_location(name), "removed");
                continue;
            }
            const auto& successor = *found->second;
            change_list changes;
            changes.add_value("priority", account->priority, successor.priority);
            changes.add("regions", list_text(account->allowed_regions), list_text(successor.allowed_regions));
            if (!changes.empty()) {
                note(finding_kind::account_changed, account_location(name), changes.text());
            }
            compare_quotas(name, account->quota, successor.quota);
        }
        for (const auto& [name, account] : m_accounts_after) {
            if (!m_accounts_before.contains(name)) {
                note(finding_kind::account_added, account_location(name),
                     fmt::format("added: quota {}, regions {}", quota_text(account->quota),
                                 list_text(account->allowed_regions)));
            }
        }
    }

    void compare_quotas(std::string_view name, const request_quota& before, const request_quota& after) {
        const auto change = fmt::format("quota {} -> {}", quota_text(before), quota_text(after));
        if (is_lower(after, before)) {
            warn(finding_kind::quota_changed, account_location(name),
                 change + ": requests above the quota get 429");
        } else if (quota_text(before) != quota_text(after)) {
            note(finding_kind::quota_changed, account_location(name), change);
        }
    }

    void compare_keys() {
        const auto before = owners_of_keys(m_in_force);
        const auto after = owners_of_keys(m_proposed);
        for (const auto& account : m_in_force.accounts) {
            for (const auto& key : account.api_keys) {
                const auto found = after.find(key);
                if (found == after.end()) {
                    report_removed_key(account, key, before);
                } else if (found->second == nullptr && before.at(key) != nullptr) {
                    warn(finding_kind::shared_key, account_location(account.name),
                         fmt::format("key {} belongs to two accounts: callers with it get 401",
                                     key_fingerprint(key)));
                } else if (found->second != nullptr && found->second->name != account.name) {
                    note(finding_kind::key_moved, account_location(account.name),
                         fmt::format("key {} moved to account {}", key_fingerprint(key),
                                     quoted(found->second->name)));
                }
            }
        }
        for (const auto& account : m_proposed.accounts) {
            for (const auto& key : account.api_keys) {
                if (!before.contains(key)) {
                    note(finding_kind::key_added, account_location(account.name),
                         fmt::format("key {} added", key_fingerprint(key)));
                }
            }
        }
    }

    void report_removed_key(const client_account& account, std::string_view key, const key_owners& before) {
        const auto change = fmt::format("key {} removed", key_fingerprint(key));
        const bool admitted_callers = before.at(key) != nullptr;
        if (m_proposed.accounts.empty() || !admitted_callers) {
            note(finding_kind::key_removed, account_location(account.name), change);
            return;
        }
        warn(finding_kind::key_removed, account_location(account.name), change + ": callers with it get 401");
    }

    void compare_common_regions() {
        for (const auto& [name, account] : m_accounts_after) {
            const auto known = m_accounts_before.find(name);
            if (known == m_accounts_before.end() || account->allowed_regions.empty()) {
                continue;
            }
            for (const auto& [key, item] : m_routes_after) {
                const auto known_route = m_routes_before.find(key);
                const bool is_known = known_route != m_routes_before.end();
                if (is_known && excludes_all_regions(*account, *item) &&
                    !excludes_all_regions(*known->second, *known_route->second)) {
                    warn(finding_kind::no_common_region, account_location(name),
                         fmt::format("no region may serve its requests to {}: they get 503",
                                     location_of(key)));
                }
            }
        }
    }

    const configuration& m_in_force;
    const configuration& m_proposed;
    std::map<route_key, const route*> m_routes_before;
    std::map<route_key, const route*> m_routes_after;
    std::map<std::string_view, const client_account*> m_accounts_before;
    std::map<std::string_view, const client_account*> m_accounts_after;
    std::vector<configuration_finding> m_findings;
};

} // namespace

std::vector<configuration_finding> find_differences(const configuration& in_force,
                                                    const configuration& proposed) {
    return difference_finder(in_force, proposed).run();
}

} // namespace carawayway::routing
