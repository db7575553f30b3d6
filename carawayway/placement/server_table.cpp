// Transitions of server states.
#include "carawayway/placement/server_table.hpp"

#include "carawayway/base/hash.hpp"

#include <algorithm>

namespace carawayway::placement {

namespace {

// Weight of one outcome in the moving averages of failures; ten good answers take two thirds of it away.
constexpr double outcome_weight = 0.1;

constexpr base::duration cold_window = std::chrono::seconds{1};

} // namespace

void server_table::put(const fleet::server_registration& facts, base::time_point now) {
    auto& handle = m_servers[facts.id];
    const bool same_incarnation = handle && handle->registration.started_at == facts.started_at &&
                                  handle->registration.address == facts.address &&
                                  handle->registration.service == facts.service;
    if (same_incarnation) {
        // A leaving server does not come back within one incarnation; late facts of a relay may say
        // otherwise.
        const auto intent = handle->registration.intent == fleet::server_intent::leaving
                                ? fleet::server_intent::leaving
                                : facts.intent;
        handle->registration = facts;
        handle->registration.intent = intent;
        handle->entry_missing = false;
        if (facts.cold_left > base::duration::zero()) {
            become_cold(*handle, facts.cold_left, now);
        }
        return;
    }
    if (handle) {
        erase(facts.id);
    }
    auto fresh = std::make_shared<server_state>();
    fresh->registration = facts;
    fresh->region = m_own.region_of(facts.failure_domain);
    fresh->id_hash = base::hash_bytes(facts.id);
    if (facts.cold_left > base::duration::zero()) {
        become_cold(*fresh, facts.cold_left, now);
    }
    m_servers[facts.id] = fresh;
    m_by_service[facts.service].push_back(fresh);
}

void server_table::erase(const std::string& id) {
    const auto found = m_servers.find(id);
    if (found == m_servers.end()) {
        return;
    }
    found->second->gone = true;
    std::erase(m_by_service[found->second->registration.service], found->second);
    m_servers.erase(found);
}

void server_table::mark_missing(const std::string& id) {
    if (const auto found = m_servers.find(id); found != m_servers.end()) {
        found->second->entry_missing = true;
    }
}

std::vector<std::string> server_table::erase_missing() {
    std::vector<std::string> dropped;
    for (const auto& [id, server] : m_servers) {
        if (server->entry_missing) {
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
        m_evacuated.insert(domain);
        return;
    }
    if (m_evacuated.erase(domain) == 0) {
        return;
    }
    // Servers may have become cold while the domain was evacuated, and nothing was sent that would have told.
    for (const auto& [id, server] : m_servers) {
        if (server->registration.failure_domain == domain) {
            become_cold(*server, cold_start_of(server->registration.service), now);
        }
    }
}

server_handle server_table::find(const std::string& id) const {
    const auto found = m_servers.find(id);
    return found == m_servers.end() ? nullptr : found->second;
}

bool server_table::is_usable(const server_state& server) const {
    return !server.gone && server.reach == reachability::usable &&
           server.registration.intent == fleet::server_intent::serving &&
           !m_evacuated.contains(server.registration.failure_domain);
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
    while (!server.cold_sends.empty() && server.cold_sends.front() + cold_window <= now) {
        server.cold_sends.pop_front();
    }
    const auto traits = m_traits.find(server.registration.service);
    const double tolerated = traits == m_traits.end() ? 0.0 : traits->second.requests_per_second;
    const double allowance =
        (tolerated * m_cold.rate_factor + m_cold.extra_requests_per_second) * used_cold_share;
    const auto feeders =
        m_gateways.feeders_of(server.registration.id, server.region,
                              static_cast<std::size_t>(std::max(1.0, allowance / smallest_feeder_rate)));
    if (!feeders.is_feeder) {
        return 0;
    }
    return static_cast<std::size_t>(std::max(1.0, allowance / static_cast<double>(feeders.feeders)));
}

bool server_table::cold_send_left(server_state& server, base::time_point now) {
    const auto allowance = cold_allowance(server, now);
    return server.cold_sends.size() < allowance;
}

bool server_table::take_cold_send(server_state& server, base::time_point now) {
    if (!cold_send_left(server, now)) {
        return false;
    }
    server.cold_sends.push_back(now);
    return true;
}

void server_table::record_load_report(server_state& server, const load_report& report, base::time_point now) {
    const std::uint32_t total = report.running + report.waiting;
    server.others_reported = total > server.own_in_flight ? total - server.own_in_flight : 0;
    server.reported_at = now;
    server.load.add(report.utilization(), now);
    if (report.slots > 0) {
        server.registration.slots = report.slots;
    }
}

void server_table::record_answer(server_state& server, bool good, base::time_point now) {
    server.failure_rate += outcome_weight * ((good ? 0.0 : 1.0) - server.failure_rate);
    server.last_answer = now;
    server.silent_failures = 0;
    if (!good) {
        server.last_failure = now;
    }
}

void server_table::record_no_answer(server_state& server, base::time_point now) {
    server.failure_rate += outcome_weight * (1.0 - server.failure_rate);
    server.last_failure = now;
    ++server.silent_failures;
    if (server.silent_failures >= tolerated_silent_failures) {
        make_suspect(server, now);
    }
}

void server_table::make_suspect(server_state& server, base::time_point now) {
    if (server.reach != reachability::usable) {
        return;
    }
    server.reach = reachability::suspect;
    server.probe_interval = first_probe_interval;
    server.next_probe = now + first_probe_interval;
}

void server_table::mark_address_reassigned(server_state& server) {
    server.reach = reachability::displaced;
}

std::vector<server_handle> server_table::begin_due_probes(base::time_point now) {
    std::vector<server_handle> due;
    for (const auto& [id, server] : m_servers) {
        if (server->reach == reachability::suspect && !server->probe_running && server->next_probe <= now &&
            server->registration.intent == fleet::server_intent::serving &&
            !m_evacuated.contains(server->registration.failure_domain)) {
            server->probe_running = true;
            due.push_back(server);
        }
    }
    return due;
}

void server_table::record_probe_result(server_state& server, health_check_result verdict,
                                       base::duration cold_left, base::time_point now) {
    server.probe_running = false;
    if (verdict == health_check_result::other_server) {
        mark_address_reassigned(server);
        return;
    }
    if (verdict == health_check_result::healthy) {
        server.reach = reachability::usable;
        server.silent_failures = 0;
        if (cold_left > base::duration::zero()) {
            become_cold(server, cold_left, now);
        }
        return;
    }
    server.probe_interval = std::min(server.probe_interval * 2, longest_probe_interval);
    server.next_probe = now + server.probe_interval;
}

void server_table::become_cold(server_state& server, base::duration cold_left, base::time_point now) {
    server.cold_until = std::max(server.cold_until, now + cold_left);
}

base::duration server_table::cold_start_of(const std::string& service) const {
    const auto traits = m_traits.find(service);
    return traits == m_traits.end() ? base::duration::zero() : traits->second.cold_start;
}

} // namespace carawayway::placement
