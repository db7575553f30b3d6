// Turns facts from the store or a peer into what the gateway believes about servers, routes, domains and
// gateways.
#pragma once

#include "carawayway/base/log.hpp"
#include "carawayway/fleet/store_health.hpp"
#include "carawayway/gateway/gateway_state.hpp"
#include "carawayway/gateway/removal_certainty.hpp"

#include <functional>
#include <set>
#include <string>

namespace carawayway::gateway {

template <platform_protocol Platform>
class fact_applier {
public:
    // `own_entry_lost` runs when the store took away the entry of this gateway.
    fact_applier(relay_state& state, std::function<void()> own_entry_lost)
        : m_state(state), m_own_entry_lost(std::move(own_entry_lost)) {}

    void apply(const std::vector<fleet::store_record>& facts, removal_trust trust, base::time_point now) {
        for (const auto& item : facts) {
            const auto subject = Platform::subject_of(item.key);
            switch (subject.kind) {
            case fleet::store_key_kind::server:
                apply_server(subject.name, item, trust, now);
                break;
            case fleet::store_key_kind::configuration:
                apply_configuration(item);
                break;
            case fleet::store_key_kind::evacuation:
                apply_evacuation(subject.name, item, now);
                break;
            case fleet::store_key_kind::gateway:
                apply_gateway(subject.name, item, trust);
                break;
            case fleet::store_key_kind::other:
                break;
            }
        }
    }

    // Entries that disappeared while the store was disturbed and did not return count as gone once it has
    // settled.
    void settle(const fleet::store_health& store, base::time_point now) {
        if (!store.is_settled(now)) {
            return;
        }
        for (const auto& id : m_state.servers.erase_missing()) {
            m_state.connections.drop(id);
            base::log(base::log_level::info, "server-gone",
                      {{"server", id}, {"reason", "entry stayed away"}});
        }
        for (const auto& name : m_missing_gateways) {
            m_state.servers.gateways().erase(name);
            base::log(base::log_level::info, "gateway-gone",
                      {{"gateway", name}, {"reason", "entry stayed away"}});
        }
        m_missing_gateways.clear();
    }

private:
    void apply_server(const std::string& id, const fleet::store_record& item, removal_trust trust,
                      base::time_point now) {
        if (item.erased) {
            if (trust == removal_trust::certain) {
                remove_server(id, "entry removed", item.revision);
            } else {
                m_state.servers.mark_missing(id);
            }
            return;
        }
        const auto facts = Platform::read_server(id, item.value);
        if (!facts) {
            // Such an entry names no server that could be used.
            remove_server(id, "entry not readable", item.revision);
            return;
        }
        m_state.servers.put(*facts, now);
        base::log(base::log_level::info, "server-known",
                  {{"server", id},
                   {"service", facts->service},
                   {"leaving", facts->intent == fleet::server_intent::leaving},
                   {"cold_ms", base::to_milliseconds(facts->cold_left)},
                   {"revision", item.revision}});
    }

    void remove_server(const std::string& id, std::string_view reason, std::int64_t revision) {
        m_state.servers.erase(id);
        m_state.connections.drop(id);
        base::log(base::log_level::info, "server-gone",
                  {{"server", id}, {"reason", reason}, {"revision", revision}});
    }

    void apply_configuration(const fleet::store_record& item) {
        auto read = item.erased ? std::nullopt : Platform::read_configuration(item.value);
        if (!read) {
            base::log(base::log_level::error, "configuration-not-readable", {{"revision", item.revision}});
            return;
        }
        const auto& routes = m_state.routes();
        if (routes && read->version < routes->source().version) {
            base::log(base::log_level::warning, "older-configuration-ignored", {{"version", read->version}});
            return;
        }
        base::log(base::log_level::info, "configuration-in-force",
                  {{"version", read->version}, {"hosts", read->hosts.size()}, {"revision", item.revision}});
        m_state.set_configuration(std::make_shared<const routing::configuration>(std::move(*read)));
    }

    void apply_evacuation(const std::string& domain, const fleet::store_record& item, base::time_point now) {
        m_state.servers.set_evacuated(domain, !item.erased, now);
        base::log(base::log_level::info, item.erased ? "evacuation-ended" : "domain-evacuated",
                  {{"domain", domain}, {"revision", item.revision}});
    }

    void apply_gateway(const std::string& name, const fleet::store_record& item, removal_trust trust) {
        const bool own = name == m_state.servers.own_locality().gateway;
        if (item.erased) {
            if (own) {
                m_own_entry_lost();
            } else if (trust == removal_trust::certain) {
                m_state.servers.gateways().erase(name);
                base::log(base::log_level::info, "gateway-gone",
                          {{"gateway", name}, {"reason", "entry removed"}, {"revision", item.revision}});
            } else {
                m_missing_gateways.insert(name);
            }
            return;
        }
        m_missing_gateways.erase(name);
        if (const auto facts = Platform::read_gateway(name, item.value)) {
            m_state.servers.gateways().put(*facts);
        } else {
            base::log(base::log_level::warning, "gateway-not-readable", {{"gateway", name}});
        }
    }

    relay_state& m_state;
    std::function<void()> m_own_entry_lost;
    std::set<std::string> m_missing_gateways;
};

} // namespace carawayway::gateway
