// Applies store records to what the gateway knows of servers, routes, failure domains and gateways.
#pragma once

#include "carawayway/base/log.hpp"
#include "carawayway/fleet/store_health.hpp"
#include "carawayway/gateway/content_fingerprint.hpp"
#include "carawayway/gateway/gateway_state.hpp"
#include "carawayway/gateway/removal_certainty.hpp"
#include "carawayway/net/endpoint.hpp"

#include <functional>
#include <set>
#include <string>

namespace carawayway::gateway {

template <platform_protocol Platform>
class record_applier {
public:
    // `on_registration_lost` runs when this gateway's registration has been removed from the store.
    record_applier(gateway_state& state, std::function<void()> on_registration_lost)
        : m_state(state), m_on_registration_lost(std::move(on_registration_lost)) {}

    void apply(const std::vector<fleet::store_record>& records, removal_certainty certainty,
               base::time_point now) {
        for (const auto& record : records) {
            const auto subject = Platform::subject_of(record.key);
            switch (subject.kind) {
            case fleet::store_key_kind::server:
                apply_server(subject.name, record, certainty, now);
                break;
            case fleet::store_key_kind::configuration:
                apply_configuration(record);
                break;
            case fleet::store_key_kind::evacuation:
                apply_evacuation(subject.name, record, now);
                break;
            case fleet::store_key_kind::gateway:
                apply_gateway(subject.name, record, certainty, now);
                break;
            case fleet::store_key_kind::quarantine_trial:
                apply_quarantine_trial(subject.name, record, now);
                break;
            case fleet::store_key_kind::quarantine:
                apply_quarantine(subject.name, record, now);
                break;
            case fleet::store_key_kind::answered_content:
                apply_answers(subject.name, record, now);
                break;
            case fleet::store_key_kind::permit:
                apply_permit(subject.name, record, now);
                break;
            case fleet::store_key_kind::other:
                break;
            }
        }
    }

    // Removes servers and gateways whose registrations disappeared during a store outage and have not
    // reappeared. Does nothing until the store has been stable for the settling time.
    void remove_missing(const fleet::store_health& store, base::time_point now) {
        if (!store.is_settled(now)) {
            return;
        }
        for (const auto& id : m_state.servers.erase_missing()) {
            m_state.connections.close_all(id);
            base::log(base::log_level::info, "server-gone",
                      {{"server", id}, {"reason", "registration did not reappear"}});
        }
        for (const auto& name : m_missing_gateways) {
            m_state.servers.gateways().erase(name, now);
            base::log(base::log_level::info, "gateway-gone",
                      {{"gateway", name}, {"reason", "registration did not reappear"}});
        }
        m_missing_gateways.clear();
    }

private:
    void apply_server(const std::string& id, const fleet::store_record& record, removal_certainty certainty,
                      base::time_point now) {
        if (record.erased) {
            if (certainty == removal_certainty::confirmed) {
                remove_server(id, "registration removed", record.revision);
            } else {
                m_state.servers.mark_missing(id);
            }
            return;
        }
        const auto registration = Platform::read_server(id, record.value);
        if (!registration || !net::parse_remote_endpoint(registration->address)) {
            // Without a valid registration the server cannot receive requests.
            base::log(base::log_level::warning, "server-registration-invalid",
                      {{"server", id}, {"revision", record.revision}});
            remove_server(id, "registration invalid", record.revision);
            return;
        }
        m_state.servers.put(*registration, now);
        base::log(base::log_level::info, "server-registered",
                  {{"server", id},
                   {"service", registration->service},
                   {"leaving", registration->intent == fleet::server_intent::leaving},
                   {"cold_ms", base::to_milliseconds(registration->cold_left)},
                   {"revision", record.revision}});
    }

    void remove_server(const std::string& id, std::string_view reason, fleet::store_revision revision) {
        if (!m_state.servers.find(id)) {
            return;
        }
        m_state.servers.erase(id);
        m_state.connections.close_all(id);
        base::log(base::log_level::info, "server-gone",
                  {{"server", id}, {"reason", reason}, {"revision", revision}});
    }

    void apply_configuration(const fleet::store_record& record) {
        auto parsed = record.erased ? std::nullopt : Platform::read_configuration(record.value);
        if (!parsed) {
            base::log(base::log_level::error, "configuration-invalid", {{"revision", record.revision}});
            return;
        }
        const auto& routes = m_state.routes();
        if (routes && parsed->version < routes->source().version) {
            base::log(base::log_level::warning, "older-configuration-ignored",
                      {{"version", parsed->version}});
            return;
        }
        base::log(
            base::log_level::info, "configuration-in-force",
            {{"version", parsed->version}, {"hosts", parsed->hosts.size()}, {"revision", record.revision}});
        for (const auto& semantics : parsed->unknown_semantics) {
            base::log(
                base::log_level::warning, "request-semantics-unknown",
                {{"semantics", semantics}, {"version", parsed->version}, {"treated_as", "non-idempotent"}});
        }
        m_state.set_configuration(std::make_shared<const routing::configuration>(std::move(*parsed)));
    }

    void apply_evacuation(const std::string& domain, const fleet::store_record& record,
                          base::time_point now) {
        m_state.servers.set_evacuated(domain, !record.erased, now);
        base::log(base::log_level::info, record.erased ? "evacuation-ended" : "domain-evacuated",
                  {{"domain", domain}, {"revision", record.revision}});
    }

    void apply_gateway(const std::string& name, const fleet::store_record& record,
                       removal_certainty certainty, base::time_point now) {
        const bool is_own = name == m_state.servers.own_locality().gateway;
        if (record.erased) {
            if (is_own) {
                m_state.servers.gateways().record_own_removal();
                m_on_registration_lost();
            } else if (certainty == removal_certainty::confirmed) {
                m_state.servers.gateways().erase(name, now);
                base::log(
                    base::log_level::info, "gateway-gone",
                    {{"gateway", name}, {"reason", "registration removed"}, {"revision", record.revision}});
            } else {
                m_missing_gateways.insert(name);
            }
            return;
        }
        m_missing_gateways.erase(name);
        const auto registration = Platform::read_gateway(name, record.value);
        if (!registration || !net::parse_remote_endpoint(registration->caller_address) ||
            !net::parse_remote_endpoint(registration->peer_address)) {
            base::log(base::log_level::warning, "gateway-registration-invalid", {{"gateway", name}});
            return;
        }
        m_state.servers.gateways().put(*registration, now);
        base::log(base::log_level::info, "gateway-registered",
                  {{"gateway", name},
                   {"domain", registration->failure_domain},
                   {"build", registration->build.name},
                   {"level", registration->build.level},
                   {"revision", record.revision}});
    }

    // A key that disappears ends nothing: the store may have dropped its lease during an outage. Each gateway
    // ends the quarantine by its own clock.
    void apply_quarantine(const std::string& name, const fleet::store_record& record, base::time_point now) {
        if (record.erased) {
            return;
        }
        const auto fingerprint = fingerprint_from_text(name);
        if (!fingerprint) {
            base::log(base::log_level::warning, "quarantine-invalid",
                      {{"content", name}, {"revision", record.revision}});
            return;
        }
        // A record that cannot be read is a quarantine none the less.
        const auto quarantine =
            Platform::read_quarantine(name, record.value).value_or(fleet::content_quarantine{});
        m_state.guard.apply({*fingerprint, quarantine.losses, quarantine.is_released}, now);
    }

    void apply_quarantine_trial(const std::string& name, const fleet::store_record& record,
                                base::time_point now) {
        const auto fingerprint = fingerprint_from_text(name);
        if (fingerprint) {
            m_state.guard.set_trial_claimed(*fingerprint, !record.erased, now);
        }
    }

    // A key that disappears ends nothing, as for a quarantine.
    void apply_answers(const std::string& name, const fleet::store_record& record, base::time_point now) {
        if (record.erased) {
            return;
        }
        const auto fingerprint = fingerprint_from_text(name);
        const auto answers = Platform::read_answers(name, record.value);
        if (!fingerprint || !answers) {
            base::log(base::log_level::warning, "answers-invalid",
                      {{"content", name}, {"revision", record.revision}});
            return;
        }
        m_state.guard.apply_answers(*fingerprint, answers->variants, now);
    }

    void apply_permit(const std::string& name, const fleet::store_record& record, base::time_point now) {
        const auto key = Platform::read_permit_key(name);
        const auto permit = key && !record.erased ? Platform::read_permit(*key, record.value) : std::nullopt;
        if (permit) {
            m_state.servers.rate_limits().put(*permit, record.revision, now);
            return;
        }
        if (!record.erased) {
            base::log(base::log_level::warning, "permit-invalid",
                      {{"permit", name}, {"revision", record.revision}});
        }
        // FIXME: A permit that cannot be read counts as removed, so that this gateway claims it again and
        // again. The store refuses the claim while the key exists.
        if (key) {
            m_state.servers.rate_limits().erase(key->server, key->number, record.revision, now);
        }
    }

    gateway_state& m_state;
    std::function<void()> m_on_registration_lost;
    std::set<std::string> m_missing_gateways; // registrations that disappeared during a store outage
};

} // namespace carawayway::gateway
