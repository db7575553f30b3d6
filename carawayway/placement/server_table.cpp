// State transitions of backend servers.
#include "carawayway/placement/server_table.hpp"

#include "carawayway/base/hash.hpp"

#include <algorithm>

namespace carawayway::placement {

namespace {

// Weight of one outcome in the moving average of failures; ten successes in a row reduce the average by two
// thirds.
constexpr double outcome_weight = 0.1;

// Time over which the requests to a cold server are counted.
constexpr base::duration cold_limit_window = std::chrono::seconds{1};

} // namespace

void server_table::put(const fleet::server_registration& registration, base::time_point now) {
    auto& handle = m_servers[registration.id];
    const bool same_incarnation = handle && handle->registration.started_at == registration.started_at &&
                                  handle->registration.address == registration.address &&
                                  handle->registration.service == registration.service;
    if (same_incarnation) {
        // A leaving server does not return within one incarnation, even if a peer that lags behind relays an
        // older registration.
        const auto intent = handle->registration.intent == fleet::server_intent::leaving
                                ? fleet::server_intent::leaving
                                : registration.intent;
        handle->registration = registration;
        handle->registration.intent = intent;
        handle->missing_from_store = false;
        if (registration.cold_left > base::duration::zero()) {
            mark_cold(*handle, registration.cold_left, now);
        }
        return;
    }
    if (handle) {
        erase(registration.id);
    }
    auto fresh = std::make_shared<server_state>();
    fresh->registration = registration;
    fresh->region = m_own_locality.region_of(registration.failure_domain);
    fresh->id_hash = base::hash_bytes(registration.id);
    if (registration.cold_left > base::duration::zero()) {
        mark_cold(*fresh, registration.cold_left, now);
    }
    m_rate_limits.start_incarnation(registration.id, registration.started_at);
    m_servers[registration.id] = fresh;
    m_by_service[registration.service].push_back(fresh);
}

void server_table::erase(const std::string& id) {
    const auto found = m_servers.find(id);
    if (found == m_servers.end()) {
        return;
    }
    found->second->removed = true;
    m_rate_limits.remove_server(id);
    std::erase(m_by_service[found->second->registration.service], found->second);
    m_servers.erase(found);
}

void server_table::mark_missing(const std::string& id) {
    if (const auto found = m_servers.find(id); found != m_servers.end()) {
        found->second->missing_from_store = true;
    }
}

std::vector<std::string> server_table::erase_missing() {
    std::vector<std::string> dropped;
    for (const auto& [id, server] : m_servers) {
        if (server->missing_from_store) {
            dropped.push_back(id);
        }
    }
    for (const auto& id : dropped) {
        erase(id);
    }
    return dropped;
}

void server_table::set_evacuated(const std::string& domain, bool evacuated, base::time_point now) {
    if (evacuated) {
        m_evacuated_domains.insert(domain);
        return;
    }
    if (m_evacuated_domains.erase(domain) == 0) {
        return;
    }
    // Servers may have become cold during the evacuation, when no answer could tell so.
    for (const auto& [id, server] : m_servers) {
        if (server->registration.failure_domain == domain) {
            mark_cold(*server, cold_start_duration(server->registration.service), now);
        }
    }
}

server_handle server_table::find(const std::string& id) const {
    const auto found = m_servers.find(id);
    return found == m_servers.end() ? nullptr : found->second;
}

bool server_table::is_usable(const server_state& server) const {
    return !server.removed && server.reachability == server_reachability::usable &&
           server.registration.intent == fleet::server_intent::serving &&
           !m_evacuated_domains.contains(server.registration.failure_domain);
}

std::vector<server_handle> server_table::candidates(const std::string& service) const {
    std::vector<server_handle> usable;
    const auto found = m_by_service.find(service);
    if (found != m_by_service.end()) {
        std::copy_if(found->second.begin(), found->second.end(), std::back_inserter(usable),
                     [this](const server_handle& server) { return is_usable(*server); });
    }
    return usable;
}

std::size_t server_table::cold_allowance(server_state& server, base::time_point now) {
    const auto registered_at = m_gateways.first_registered_at();
    if (!registered_at || now < *registered_at + cold_hold_after_registration) {
        return 0;
    }
    while (!server.recent_cold_sends.empty() && server.recent_cold_sends.front() + cold_limit_window <= now) {
        server.recent_cold_sends.pop_front();
    }
    const auto profile = m_cold_start_profiles.find(server.registration.service);
    const double tolerated_rate =
        profile == m_cold_start_profiles.end() ? 0.0 : profile->second.requests_per_second;
    const double allowance =
        (tolerated_rate * m_cold_limits.rate_factor + m_cold_limits.extra_requests_per_second) *
        usable_cold_share;
    const auto senders = m_gateways.cold_senders_of(
        server.registration.id, server.region,
        static_cast<std::size_t>(std::max(1.0, allowance / minimum_sender_requests_per_second)), now);
    if (!senders.is_sender) {
        return 0;
    }
    return static_cast<std::size_t>(std::max(1.0, allowance / static_cast<double>(senders.sender_count)));
}

bool server_table::has_cold_allowance(server_state& server, base::time_point now) {
    const auto allowance = cold_allowance(server, now);
    return server.recent_cold_sends.size() < allowance;
}

bool server_table::try_acquire_cold_send(server_state& server, base::time_point now) {
    if (!has_cold_allowance(server, now)) {
        return false;
    }
    server.recent_cold_sends.push_back(now);
    return true;
}

void server_table::record_rest(server_state& server, base::duration rest, base::time_point now) {
    server.rests_until = std::max(server.rests_until, now + rest);
    server.has_rested = true;
}

bool server_table::record_leaving(server_state& server) {
    const bool was_known = server.registration.intent == fleet::server_intent::leaving;
    server.registration.intent = fleet::server_intent::leaving;
    return !was_known;
}

void server_table::record_load_report(server_state& server, const load_report& report, base::time_point now) {
    const std::uint32_t total = report.running + report.waiting;
    server.others_in_flight = total > server.own_in_flight ? total - server.own_in_flight : 0;
    server.reported_at = now;
    server.load.add(report.utilization(), now);
    server.work_time_factor = report.work_time_factor;
    if (report.slots > 0) {
        server.registration.slots = report.slots;
    }
}

void server_table::record_answer(server_state& server, bool good, base::time_point now) {
    server.failure_rate += outcome_weight * ((good ? 0.0 : 1.0) - server.failure_rate);
    server.last_answer_at = now;
    server.consecutive_unanswered = 0;
    if (good) {
        server.has_rested = false;
    } else {
        server.last_failure_at = now;
    }
}

void server_table::record_no_answer(server_state& server, base::time_point now) {
    server.failure_rate += outcome_weight * (1.0 - server.failure_rate);
    server.last_failure_at = now;
    ++server.consecutive_unanswered;
    if (server.consecutive_unanswered >= unanswered_until_suspect) {
        make_suspect(server, now);
    }
}

void server_table::make_suspect(server_state& server, base::time_point now) {
    if (server.reachability != server_reachability::usable) {
        return;
    }
    server.reachability = server_reachability::suspect;
    server.suspect_since = now;
    server.probe_interval = initial_probe_interval;
    server.next_probe_at = now + initial_probe_interval;
}

void server_table::mark_address_reassigned(server_state& server) {
    server.reachability = server_reachability::address_reassigned;
}

void server_table::restore_suspects(base::time_point from) {
    for (const auto& [id, server] : m_servers) {
        if (server->reachability == server_reachability::suspect && server->suspect_since >= from) {
            server->reachability = server_reachability::usable;
            server->consecutive_unanswered = 0;
        }
    }
}

std::vector<server_handle> server_table::by_reachability() const {
    std::vector<server_handle> servers;
    for (const auto& [id, server] : m_servers) {
        if (server->registration.intent == fleet::server_intent::serving &&
            server->reachability != server_reachability::address_reassigned) {
            servers.push_back(server);
        }
    }
    std::sort(servers.begin(), servers.end(), [](const server_handle& left, const server_handle& right) {
        return left->last_answer_at > right->last_answer_at;
    });
    std::set<std::string> domains;
    std::vector<server_handle> ordered;
    std::vector<server_handle> others;
    for (auto& server : servers) {
        const bool is_first = domains.insert(server->registration.failure_domain).second;
        (is_first ? ordered : others).push_back(std::move(server));
    }
    std::move(others.begin(), others.end(), std::back_inserter(ordered));
    return ordered;
}

std::vector<server_handle> server_table::begin_due_probes(base::time_point now) {
    std::vector<server_handle> due;
    for (const auto& [id, server] : m_servers) {
        if (server->reachability == server_reachability::suspect && !server->probe_in_progress &&
            server->next_probe_at <= now && server->rests_until <= now &&
            server->registration.intent == fleet::server_intent::serving &&
            !m_evacuated_domains.contains(server->registration.failure_domain)) {
            server->probe_in_progress = true;
            due.push_back(server);
        }
    }
    return due;
}

void server_table::record_probe_result(server_state& server, health_check_result result,
                                       base::duration cold_left, base::time_point now) {
    server.probe_in_progress = false;
    if (result == health_check_result::other_server) {
        mark_address_reassigned(server);
        return;
    }
    if (result == health_check_result::healthy) {
        server.reachability = server_reachability::usable;
        server.consecutive_unanswered = 0;
        if (cold_left > base::duration::zero()) {
            mark_cold(server, cold_left, now);
        }
        return;
    }
    server.probe_interval = std::min(server.probe_interval * 2, maximum_probe_interval);
    server.next_probe_at = now + server.probe_interval;
}

void server_table::mark_cold(server_state& server, base::duration cold_left, base::time_point now) {
    server.cold_until = std::max(server.cold_until, now + cold_left);
}

base::duration server_table::cold_start_duration(const std::string& service) const {
    const auto profile = m_cold_start_profiles.find(service);
    return profile == m_cold_start_profiles.end() ? base::duration::zero() : profile->second.duration;
}

} // namespace carawayway::placement
