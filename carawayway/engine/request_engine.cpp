// Construction, configuration, server ownership, periodic work and reports of the request engine.
#include "carawayway/engine/request_engine.hpp"

#include "carawayway/base/hash.hpp"

#include <utility>

namespace carawayway::engine {

namespace {

// A summary is sent on each new link, so the time since the last one can be short. A rate measured over less
// time would be inaccurate, and so would be the shift allowance that is based on it.
constexpr auto minimum_rate_window = std::chrono::milliseconds(400);

steering::server_spec to_spec(const compiled_policy& policy, const config::server_policy& server) {
    const auto* service = policy.find_service(server.service);
    return {server.name, policy.effective_slots(server.name), server.connections,
            service == nullptr ? base::duration::zero() : service->warm_up};
}

} // namespace

request_engine::request_engine(engine_identity identity, engine_limits limits, std::uint64_t seed,
                               metrics::metric_registry& metrics)
    : m_identity(std::move(identity)), m_limits(limits), m_random(seed), m_metrics(metrics),
      m_registry({.entry = m_identity.name,
                  .incarnation = m_identity.incarnation,
                  .started = m_identity.started,
                  .acceptance = limits.id_acceptance,
                  .retention = limits.id_retention,
                  .capacity = limits.request_table,
                  .hash_seed = m_random()}),
      m_guard(m_identity.name, steering::crash_guard_limits{}),
      m_peers(m_identity.failure_domain, m_identity.region), m_arrivals_since(m_identity.started),
      m_last_number(m_identity.incarnation >> 16U) {
    declare_metrics();
}

void request_engine::declare_metrics() {
    using enum metrics::metric_type;
    m_metrics.declare("carawayway_requests_total", counter, "Requests by customer, service and outcome.");
    m_metrics.declare("carawayway_request_seconds", histogram,
                      "Time from arrival to the response by customer, service and execution state.");
    m_metrics.declare("carawayway_queue_wait_seconds", histogram,
                      "Time from arrival to dispatch by service.");
    m_metrics.declare("carawayway_attempts_total", counter,
                      "Attempts at backend servers by service and outcome.");
    m_metrics.declare("carawayway_moved_requests_total", counter,
                      "Requests served outside their home region by service and home region.");
    m_metrics.declare("carawayway_in_flight", gauge, "Requests in flight to own servers by service.");
    m_metrics.declare("carawayway_usable_slots", gauge, "Usable slots of own servers by service.");
    m_metrics.declare("carawayway_queued", gauge, "Requests waiting by service.");
}

local_service* request_engine::find_local_service(const std::string& service) {
    const auto found = m_local_services.find(service);
    return found == m_local_services.end() ? nullptr : found->second.get();
}

const local_service* request_engine::find_local_service(const std::string& service) const {
    const auto found = m_local_services.find(service);
    return found == m_local_services.end() ? nullptr : found->second.get();
}

pending_call* request_engine::find_call(std::uint64_t number) {
    const auto found = m_calls.find(number);
    return found == m_calls.end() ? nullptr : &found->second;
}

void request_engine::set_policy(std::shared_ptr<const compiled_policy> policy,
                                std::uint32_t receiving_entries, base::time_point now, effects& out) {
    const auto previous = std::exchange(m_policy, std::move(policy));
    m_peers.set_limits(
        {m_policy->content().peer_requests_in_flight, m_policy->content().peer_bytes_in_flight});
    for (const auto& service : m_policy->content().services) {
        if (!m_local_services.contains(service.name)) {
            m_local_services.emplace(service.name, std::make_unique<local_service>(service, m_random(), now));
        }
        m_shifts.configure(service.name, service.cap, receiving_entries, now);
    }
    if (previous) {
        for (const auto& server : previous->content().servers) {
            const auto* kept = m_policy->find_server(server.name);
            if (kept == nullptr || kept->service != server.service) {
                find_local_service(server.service)->pool.remove(server.name, now);
            }
        }
    }
    for (const auto& server : m_policy->content().servers) {
        const auto* domain = m_policy->content().find_failure_domain(server.failure_domain);
        const bool draining = server.state == config::administrative_state::draining ||
                              (domain != nullptr && domain->state == config::administrative_state::draining);
        if (draining) {
            server_draining(server.name, wire::drain_evidence::policy, now);
        } else {
            server_not_draining(server.name, wire::drain_evidence::policy, now, out);
        }
    }
}

void request_engine::set_receiving_entries(std::uint32_t count, base::time_point now) {
    for (const auto& service : m_policy->content().services) {
        m_shifts.configure(service.name, service.cap, count, now);
    }
}

void request_engine::set_reference_rate(const shifting::shift_key& key, double requests_per_second,
                                        base::time_point now) {
    m_shifts.set_reference_rate(key, requests_per_second, now);
}

void request_engine::server_owned(const std::string& server, base::duration served_elsewhere,
                                  base::time_point now, effects& out) {
    const auto* known = m_policy ? m_policy->find_server(server) : nullptr;
    if (known == nullptr) {
        return;
    }
    auto* local = find_local_service(known->service);
    if (m_policy->effective_slots(server) == 0) {
        local->set_not_owned(server, now); // an earlier policy may have given it slots
        return;
    }
    auto spec = to_spec(*m_policy, *known);
    spec.warm_up = std::max(base::duration::zero(), spec.warm_up - served_elsewhere);
    local->set_owned(spec, now);
    dispatch_queued(*local, now, out);
}

void request_engine::server_not_owned(const std::string& server, base::time_point now) {
    for (auto& [name, local] : m_local_services) {
        local->set_not_owned(server, now);
    }
}

void request_engine::server_draining(const std::string& server, wire::drain_evidence evidence,
                                     base::time_point now) {
    const auto* known = m_policy ? m_policy->find_server(server) : nullptr;
    if (known != nullptr) {
        find_local_service(known->service)->set_draining(server, evidence, now);
    }
}

void request_engine::server_not_draining(const std::string& server, wire::drain_evidence evidence,
                                         base::time_point now, effects& out) {
    const auto* known = m_policy ? m_policy->find_server(server) : nullptr;
    if (known == nullptr) {
        return;
    }
    auto* local = find_local_service(known->service);
    local->clear_draining(server, evidence, now);
    dispatch_queued(*local, now, out);
}

void request_engine::tick(base::time_point now, effects& out) {
    while (!m_deadlines.empty() && m_deadlines.top().time <= now) {
        const deadline_entry due = m_deadlines.top();
        m_deadlines.pop();
        if (due.kind == deadline_kind::call) {
            expire_call(due.number, now, out);
        } else if (m_waiters.contains(due.number)) {
            expire_waiter(due.number, now, out);
        }
    }
    for (auto& [name, local] : m_local_services) {
        dispatch_queued(*local, now, out);
    }
    m_registry.expire(now);
}

wire::entry_summary request_engine::summary(base::time_point now) {
    wire::entry_summary result;
    if (now - m_arrivals_since >= minimum_rate_window) {
        m_home_rates.clear();
        for (const auto& [key, count] : std::exchange(m_arrivals, {})) {
            const double rate = static_cast<double>(count) / base::to_seconds(now - m_arrivals_since);
            m_home_rates[key.first].push_back({key.second, rate});
        }
        m_arrivals_since = now;
    }
    for (auto& [name, local] : m_local_services) {
        wire::service_summary item;
        item.service = name;
        // Without a server that is healthy or due for a probe, no free slots are offered to peers.
        item.free_slots = local->pool.is_healthy(now) ? local->pool.free_slots(now) : 0;
        item.usable_slots = local->pool.usable_slots(now);
        item.in_flight = local->pool.in_flight();
        item.queued = static_cast<std::uint32_t>(local->queue.size());
        item.typical_latency_us = static_cast<std::uint32_t>(
            std::chrono::duration_cast<std::chrono::microseconds>(local->typical_latency()).count());
        item.home_rates = m_home_rates[name];
        result.services.push_back(std::move(item));
    }
    return result;
}

std::uint32_t request_engine::usable_slots(const std::string& service, base::time_point now) const {
    const auto* local = find_local_service(service);
    return local == nullptr ? 0 : local->pool.usable_slots(now);
}

std::uint32_t request_engine::in_flight(const std::string& server) const {
    std::uint32_t sum = 0;
    for (const auto& [name, local] : m_local_services) {
        sum += local->pool.in_flight(server);
    }
    return sum;
}

std::string request_engine::issue_prefix(base::time_point now) {
    return m_id_issuance == id_issuance::running ? m_registry.issue_prefix(now) : std::string{};
}

std::vector<std::string> request_engine::take_draining_servers() {
    return std::exchange(m_newly_draining_servers, {});
}

void request_engine::update_gauges(base::time_point now) {
    for (const auto& [name, local] : m_local_services) {
        m_metrics.set("carawayway_in_flight", {{"service", name}}, local->pool.in_flight());
        m_metrics.set("carawayway_usable_slots", {{"service", name}}, local->pool.usable_slots(now));
        m_metrics.set("carawayway_queued", {{"service", name}}, static_cast<double>(local->queue.size()));
    }
}

} // namespace carawayway::engine
