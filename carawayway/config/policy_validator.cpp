// Implements the checks, one function for each kind of section.
#include "carawayway/config/policy_validator.hpp"

#include "carawayway/client_blocks/address_prefix.hpp"
#include "carawayway/config/diagnostic_collector.hpp"
#include "carawayway/config/ini_document.hpp"
#include "carawayway/config/key_check.hpp"
#include "carawayway/config/nearest_name.hpp"
#include "carawayway/config/policy_fields.hpp"
#include "carawayway/config/policy_writer.hpp"
#include "carawayway/config/value_text.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <set>
#include <unordered_map>
#include <unordered_set>

namespace carawayway::config {

namespace {

// Checks each member of one section against the description of its key.
class field_checker {
public:
    field_checker(std::string_view kind, std::string_view title, diagnostic_collector& diagnostics)
        : m_kind(kind), m_title(title), m_diagnostics(diagnostics) {}

    template <class Value>
    void operator()(std::string_view key, const Value& value) const {
        check(key, format_value(value), true);
    }

    void operator()(std::string_view key, const base::duration& value) const {
        check(key, format_value(value), value % std::chrono::milliseconds(1) == base::duration::zero());
    }

private:
    void check(std::string_view key, const std::string& text, bool is_exact) const {
        const auto* const description = find_key(document_kind::policy, m_kind, key);
        if (text.empty() && description->requirement == requirement_level::optional) {
            return;
        }
        if (!is_exact || !is_valid_value(*description, text)) {
            m_diagnostics.add({0, m_title, key}, expected_value(*description));
        }
    }

    std::string_view m_kind;
    std::string_view m_title;
    diagnostic_collector& m_diagnostics;
};

// Indexes the items of one kind by name.
template <class Item>
class name_index {
public:
    explicit name_index(const std::vector<Item>& items) {
        for (const auto& item : items) {
            m_items.emplace(item.name, &item);
        }
    }

    const Item* find(std::string_view name) const {
        const auto found = m_items.find(name);
        return found == m_items.end() ? nullptr : found->second;
    }

    // Describes the valid names in place of an unknown one.
    std::string describe_expected(std::string_view kind, std::string_view name) const {
        std::vector<std::string_view> names;
        names.reserve(m_items.size());
        for (const auto& [known, item] : m_items) {
            names.push_back(known);
        }
        std::sort(names.begin(), names.end());
        const auto nearest = nearest_name(name, names);
        return nearest.empty()
                   ? fmt::format("the name of a {} in this policy", kind)
                   : fmt::format("the name of a {} in this policy; nearest name {}", kind, nearest);
    }

private:
    std::unordered_map<std::string_view, const Item*> m_items;
};

class policy_checker {
public:
    explicit policy_checker(const policy& content)
        : m_policy(content), m_regions(content.regions), m_domains(content.failure_domains),
          m_services(content.services) {}

    std::vector<diagnostic> run() {
        visit_fields(m_policy, field_checker("policy", "policy", m_collector));
        visit_drain_fields(m_policy, field_checker("drain", "drain", m_collector));
        check_items("region", m_policy.regions);
        check_items("domain", m_policy.failure_domains);
        check_items("service", m_policy.services);
        check_items("server", m_policy.servers);
        check_domain_regions();
        check_services();
        check_servers();
        check_capacities();
        check_client_blocks();
        check_server_availability();
        check_size();
        return std::move(m_diagnostics);
    }

private:
    // Checks names and single values.
    template <class Item>
    void check_items(std::string_view kind, const std::vector<Item>& items) {
        std::unordered_set<std::string_view> names;
        for (const auto& item : items) {
            if (m_collector.is_full()) {
                return;
            }
            const std::string title = fmt::format("{} {}", kind, item.name);
            if (!is_valid_name(item.name)) {
                m_collector.add({0, title, {}}, "a name of 1 to 63 characters a-z, 0-9 and -");
            }
            if (!names.insert(item.name).second) {
                m_collector.add({0, title, {}}, "a unique section name");
            }
            visit_fields(item, field_checker(kind, title, m_collector));
        }
    }

    template <class Item>
    void check_reference(const name_index<Item>& index, const diagnostic_location& location,
                         std::string_view kind, std::string_view name) {
        if (!m_collector.is_full() && index.find(name) == nullptr) {
            m_collector.add(location, index.describe_expected(kind, name));
        }
    }

    void check_domain_regions() {
        for (const auto& domain : m_policy.failure_domains) {
            check_reference(m_regions, {0, "domain " + domain.name, "region"}, "region", domain.region);
        }
    }

    void check_services() {
        for (const auto& service : m_policy.services) {
            const std::string title = "service " + service.name;
            if (service.maximum_timeout < service.default_timeout) {
                m_collector.add({0, title, "maximum_timeout_ms"}, "at least default_timeout_ms");
            }
            for (const auto& region : service.regions) {
                check_reference(m_regions, {0, title, "regions"}, "region", region);
            }
        }
    }

    void check_servers() {
        std::unordered_map<std::string, std::string_view> names_by_address;
        for (const auto& server : m_policy.servers) {
            const std::string title = "server " + server.name;
            check_reference(m_services, {0, title, "service"}, "service", server.service);
            check_reference(m_domains, {0, title, "domain"}, "failure domain", server.failure_domain);
            if (server.connections < server.slots) {
                m_collector.add(
                    {0, title, "connections"},
                    "at least the number of slots, since each request in flight uses a connection");
            }
            socket_address address;
            if (!parse_value(server.address, address)) {
                continue; // already reported by check_items
            }
            // A server listed under two names would get twice as many requests as it has slots.
            const auto [existing, inserted] = names_by_address.emplace(format_value(address), server.name);
            if (!inserted) {
                m_collector.add(
                    {0, title, "address"},
                    fmt::format("a unique address, but server {} has the same one", existing->second));
            }
        }
    }

    const failure_domain_policy* domain_of(const server_policy& server) const {
        return m_domains.find(server.failure_domain);
    }

    void check_capacities() {
        std::unordered_map<std::string_view, std::uint64_t> slots_by_region;
        for (const auto& server : m_policy.servers) {
            const auto* const domain = domain_of(server);
            if (domain != nullptr) {
                slots_by_region[domain->region] += server.slots;
            }
        }
        for (const auto& region : m_policy.regions) {
            const std::uint64_t sum = slots_by_region[region.name];
            if (region.capacity.value_or(0) > sum) {
                m_collector.add({0, "region " + region.name, "capacity"},
                                fmt::format("at most the sum of the slots of its servers, {}", sum));
            }
        }
    }

    void check_client_blocks() {
        std::set<client_blocks::address_prefix> prefixes;
        for (const auto& block : m_policy.client_blocks) {
            const auto prefix = client_blocks::address_prefix::parse(block.prefix);
            if (!prefix.has_value()) {
                m_collector.add({0, "client_blocks", block.prefix}, std::string(expected_prefix));
            } else if (!prefixes.insert(*prefix).second) {
                m_collector.add({0, "client_blocks", block.prefix}, "a unique prefix");
            }
            check_reference(m_regions, {0, "client_blocks", block.prefix}, "region", block.region);
        }
    }

    bool may_serve(const service_policy& service, const server_policy& server) const {
        const auto* const domain = domain_of(server);
        if (domain == nullptr || domain->state == administrative_state::draining ||
            server.state == administrative_state::draining) {
            return false;
        }
        const auto& regions = service.regions;
        return regions.empty() || std::find(regions.begin(), regions.end(), domain->region) != regions.end();
    }

    // Rejects a policy that leaves a service without available servers, since all its requests would be
    // refused.
    void check_server_availability() {
        std::unordered_set<std::string_view> available_services;
        std::unordered_map<std::string_view, const server_policy*> last_listed_servers;
        for (const auto& server : m_policy.servers) {
            const auto* const service = m_services.find(server.service);
            if (service == nullptr) {
                continue;
            }
            last_listed_servers[service->name] = &server;
            if (may_serve(*service, server)) {
                available_services.insert(service->name);
            }
        }
        for (const auto& service : m_policy.services) {
            const auto last = last_listed_servers.find(service.name);
            if (last != last_listed_servers.end() && !available_services.contains(service.name)) {
                report_unavailable(service, *last->second);
            }
        }
    }

    // Reports the drain or the region list that makes the given server unavailable to the service.
    void report_unavailable(const service_policy& service, const server_policy& server) {
        const std::string expected = fmt::format(
            "at least one server of service {} that is not draining, in a failure domain that is not "
            "draining and a region that may serve it",
            service.name);
        const auto* const domain = domain_of(server);
        if (server.state == administrative_state::draining) {
            m_collector.add({0, "server " + server.name, "state"}, expected);
        } else if (domain != nullptr && domain->state == administrative_state::draining) {
            m_collector.add({0, "domain " + domain->name, "state"}, expected);
        } else {
            m_collector.add({0, "service " + service.name, "regions"}, expected);
        }
    }

    void check_size() {
        if (to_ini(m_policy).size() > ini_document::maximum_bytes) {
            m_collector.add({}, fmt::format("at most {} bytes in INI form", ini_document::maximum_bytes));
        }
    }

    const policy& m_policy;
    name_index<region_policy> m_regions;
    name_index<failure_domain_policy> m_domains;
    name_index<service_policy> m_services;
    std::vector<diagnostic> m_diagnostics;
    diagnostic_collector m_collector{{}, m_diagnostics};
};

} // namespace

std::vector<diagnostic> validate(const policy& content) {
    return policy_checker(content).run();
}

} // namespace carawayway::config
