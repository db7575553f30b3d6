// The checks, one function for each kind of section.
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

// Checks each member of one section against the table of known keys.
class field_check {
public:
    field_check(std::string_view kind, std::string_view title, diagnostic_collector& diagnostics)
        : m_kind(kind), m_title(title), m_diagnostics(diagnostics) {}

    template <class Value>
    void operator()(std::string_view key, const Value& value) const {
        check(key, format_value(value), true);
    }

    void operator()(std::string_view key, const base::duration& value) const {
        check(key, format_value(value), value % std::chrono::milliseconds(1) == base::duration::zero());
    }

private:
    void check(std::string_view key, const std::string& text, bool is_whole) const {
        const auto* const known = find_key(document_kind::policy, m_kind, key);
        if (text.empty() && known->required == presence::optional) {
            return;
        }
        if (!is_whole || !accepts(*known, text)) {
            m_diagnostics.add({0, m_title, key}, expected_value(*known));
        }
    }

    std::string_view m_kind;
    std::string_view m_title;
    diagnostic_collector& m_diagnostics;
};

// The items of one kind by name.
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

    // What a reference to an unknown item should have been.
    std::string expected(std::string_view kind, std::string_view name) const {
        std::vector<std::string_view> names;
        names.reserve(m_items.size());
        for (const auto& [known, item] : m_items) {
            names.push_back(known);
        }
        std::sort(names.begin(), names.end());
        const auto nearest = nearest_name(name, names);
        return nearest.empty() ? fmt::format("the name of a {} of this policy", kind)
                               : fmt::format("the name of a {} of this policy, such as {}", kind, nearest);
    }

private:
    std::unordered_map<std::string_view, const Item*> m_items;
};

class policy_check {
public:
    explicit policy_check(const policy& content)
        : m_policy(content), m_regions(content.regions), m_domains(content.failure_domains),
          m_services(content.services) {}

    std::vector<diagnostic> run() {
        visit_fields(m_policy, field_check("policy", "policy", m_collector));
        visit_drain_fields(m_policy, field_check("drain", "drain", m_collector));
        check_items("region", m_policy.regions);
        check_items("domain", m_policy.failure_domains);
        check_items("service", m_policy.services);
        check_items("server", m_policy.servers);
        check_domain_regions();
        check_services();
        check_servers();
        check_capacities();
        check_client_blocks();
        check_available_servers();
        check_size();
        return std::move(m_diagnostics);
    }

private:
    // Names and single values.
    template <class Item>
    void check_items(std::string_view kind, const std::vector<Item>& items) {
        std::unordered_set<std::string_view> names;
        for (const auto& item : items) {
            if (m_collector.full()) {
                return;
            }
            const std::string title = fmt::format("{} {}", kind, item.name);
            if (!is_name(item.name)) {
                m_collector.add({0, title, {}}, "a name of 1 to 63 characters a-z, 0-9 and -");
            }
            if (!names.insert(item.name).second) {
                m_collector.add({0, title, {}}, "one section with this name");
            }
            visit_fields(item, field_check(kind, title, m_collector));
        }
    }

    template <class Item>
    void check_reference(const name_index<Item>& index, const diagnostic_place& place, std::string_view kind,
                         std::string_view name) {
        if (!m_collector.full() && index.find(name) == nullptr) {
            m_collector.add(place, index.expected(kind, name));
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
                continue; // reported with the other values
            }
            // One server under two names would be given twice its slots.
            const auto [known, inserted] = names_by_address.emplace(format_value(address), server.name);
            if (!inserted) {
                m_collector.add({0, title, "address"},
                                fmt::format("an address of its own, not that of server {}", known->second));
            }
        }
    }

    const failure_domain_policy* domain_of(const server_policy& server) const {
        return m_domains.find(server.failure_domain);
    }

    void check_capacities() {
        std::unordered_map<std::string_view, std::uint64_t> slots;
        for (const auto& server : m_policy.servers) {
            const auto* const domain = domain_of(server);
            if (domain != nullptr) {
                slots[domain->region] += server.slots;
            }
        }
        for (const auto& region : m_policy.regions) {
            const std::uint64_t sum = slots[region.name];
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
                m_collector.add({0, "client_blocks", block.prefix}, "each prefix once");
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

    // A drain of the last servers, or of the last failure domain, would refuse all requests of a service.
    void check_available_servers() {
        std::unordered_set<std::string_view> available;
        std::unordered_map<std::string_view, const server_policy*> last_servers;
        for (const auto& server : m_policy.servers) {
            const auto* const service = m_services.find(server.service);
            if (service == nullptr) {
                continue;
            }
            last_servers[service->name] = &server;
            if (may_serve(*service, server)) {
                available.insert(service->name);
            }
        }
        for (const auto& service : m_policy.services) {
            const auto last = last_servers.find(service.name);
            if (last != last_servers.end() && !available.contains(service.name)) {
                report_unavailable(service, *last->second);
            }
        }
    }

    // Names the drain, or the region list, that takes the given server of the service away.
    void report_unavailable(const service_policy& service, const server_policy& server) {
        const std::string expected = fmt::format(
            "at least one server of service {} that is not draining, in a failure domain that is not "
            "draining and a region that serves it",
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
    return policy_check(content).run();
}

} // namespace carawayway::config
