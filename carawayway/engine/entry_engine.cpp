// Handles events from callers, servers and the platform, new policies, look-ups and the graceful stop.
#include "carawayway/engine/entry_engine.hpp"

#include "carawayway/base/hash.hpp"
#include "carawayway/base/log.hpp"
#include "carawayway/config/policy_reader.hpp"
#include "carawayway/shifting/entry_selector.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace carawayway::engine {

namespace {

// In slots. Entry instances without own servers for a service still get some callers and send their requests
// to peers.
constexpr double minimum_lookup_weight = 0.25;
constexpr std::size_t other_region_sample_size = 16;
constexpr double initial_reference_rate = 1.0; // requests per second

std::string to_text(const config::socket_address& address) {
    const bool ipv6 = address.host.find(':') != std::string::npos;
    return (ipv6 ? "[" + address.host + "]" : address.host) + ":" + std::to_string(address.port);
}

} // namespace

std::string_view to_string(run_state state) {
    constexpr std::array<std::string_view, 4> names{"running", "leaving", "draining", "stopped"};
    return names.at(static_cast<std::size_t>(state));
}

entry_engine::entry_engine(const engine_identity& identity, const wire::member_record& self,
                           control_settings control, engine_limits limits, std::uint64_t seed,
                           metrics::metric_registry& metrics, base::time_point now)
    : m_identity(identity), m_control(control), m_members(self, control.members, now),
      m_requests(identity, limits, seed, metrics),
      m_ownership(
          m_members, control.ownership,
          [this](std::string_view server) { return m_requests.in_flight(std::string(server)); },
          [this](std::string_view server) { return is_reachable(server); }, now),
      m_policy_replica(membership::policy_replica_settings{}), m_summaries(control.summary_lifetime),
      m_state_since(now), m_next_control(now), m_next_heartbeat(now), m_next_summary(now),
      m_next_regional_summary(now),
      m_heartbeat_limiter(control.heartbeat_bytes_per_second, control.heartbeat_bytes_per_second, now),
      m_summary_limiter(control.summary_bytes_per_second, control.summary_bytes_per_second, now),
      m_regional_summary_limiter(control.regional_summary_bytes_per_second,
                                 2 * control.regional_summary_bytes_per_second, now),
      m_next_maintenance(now) {}

void entry_engine::add_seed(const wire::member_record& seed, base::time_point now) {
    m_members.add_seed(seed, now);
    m_requests.peers().set_member(seed.name, seed.failure_domain, seed.region, seed.incarnation);
}

// While a process is paused, other entry instances may take over its servers. Ownership is therefore checked
// again before any event is handled.
void entry_engine::revalidate_after_pause(base::time_point now, effects& out) {
    if (now > m_ownership.dispatch_permitted_until()) {
        base::log(base::log_level::warning, "pause-detected");
        control_tick(now, out);
    }
}

void entry_engine::caller_request(std::uint64_t token, request_ptr request, base::time_point now,
                                  effects& out) {
    revalidate_after_pause(now, out);
    m_requests.caller_request(token, std::move(request), now, out);
}

void entry_engine::caller_left(std::uint64_t token, base::time_point now, effects& out) {
    revalidate_after_pause(now, out);
    m_requests.caller_left(token, now, out);
}

void entry_engine::attempt_finished(std::uint64_t attempt, server_result result, base::time_point now,
                                    effects& out) {
    revalidate_after_pause(now, out);
    m_requests.attempt_finished(attempt, std::move(result), now, out);
    broadcast_draining_servers(now, out);
}

void entry_engine::peer_call_lost(const std::string& peer, std::uint64_t call, loss_evidence evidence,
                                  base::time_point now, effects& out) {
    revalidate_after_pause(now, out);
    m_requests.peer_call_lost(peer, call, evidence, now, out);
}

void entry_engine::server_probed(const std::string& server, reachability result, base::time_point now) {
    if (result == reachability::reachable) {
        m_last_reachable[server] = now;
    } else {
        m_last_reachable.erase(server);
    }
}

// Returns live entry instances in the order in which the client should try them.
std::vector<lookup_entry> entry_engine::lookup_entries(const std::string& service,
                                                       const std::string& home_region,
                                                       const std::string& client_address,
                                                       base::time_point now) const {
    const std::string preferred = home_region.empty() ? m_identity.region : home_region;
    const auto& drained = m_requests.policy()->content().draining_entries;
    std::vector<shifting::known_entry> entries;
    std::vector<const wire::member_record*> records;
    const auto add = [&](const wire::member_record& record, double slots) {
        entries.push_back({record.name, record.failure_domain, record.region, shifting::entry_state::active,
                           std::max(slots, minimum_lookup_weight)});
        records.push_back(&record);
    };
    const auto add_member = [&](const wire::member_record& record) {
        const auto* load = m_summaries.find_service(record.name, service, now);
        add(record, load == nullptr ? 0.0 : load->usable_slots);
    };
    const auto offered = [&drained](const std::string& name) {
        return std::find(drained.begin(), drained.end(), name) == drained.end();
    };
    if (m_state == run_state::running && offered(m_identity.name)) {
        add(m_members.self(), m_requests.usable_slots(service, now));
    }
    std::vector<const wire::member_record*> other_regions;
    for (const auto& [name, member] : m_members.members()) {
        const bool usable = member.has_progressed && member.status == membership::member_status::alive &&
                            member.running != wire::running_state::stopping &&
                            member.record.caller_address.port != 0 && offered(name);
        if (usable && member.record.region == preferred) {
            add_member(member.record);
        } else if (usable) {
            other_regions.push_back(&member.record);
        }
    }
    // Ranking all entry instances of a large deployment is expensive, so only a sample of the other regions
    // is ranked. It depends on the client address, which spreads the load.
    const std::size_t sample = std::min(other_regions.size(), other_region_sample_size);
    const std::uint64_t first = base::hash_bytes(client_address);
    for (std::size_t index = 0; index < sample; ++index) {
        add_member(*other_regions[(first + index) % other_regions.size()]);
    }
    return choose_lookup_entries(shifting::lookup_order(preferred, client_address, entries), records,
                                 preferred);
}

// Puts entry instances of the preferred region first and always keeps some places for other regions, since
// callers need those when their region is lost.
std::vector<lookup_entry>
entry_engine::choose_lookup_entries(const std::vector<std::size_t>& order,
                                    const std::vector<const wire::member_record*>& records,
                                    const std::string& preferred_region) const {
    std::vector<std::size_t> home;
    std::vector<std::size_t> others;
    for (const auto index : order) {
        (records[index]->region == preferred_region ? home : others).push_back(index);
    }
    const std::size_t places = m_control.lookup_entries;
    const std::size_t reserved_for_others = std::min(others.size(), m_control.other_region_lookup_entries);
    home.resize(std::min(home.size(), places - reserved_for_others));
    others.resize(std::min(others.size(), places - home.size()));
    home.insert(home.end(), others.begin(), others.end());
    std::vector<lookup_entry> result;
    for (const auto index : home) {
        const auto& record = *records[index];
        result.push_back({record.name, to_text(record.caller_address), record.failure_domain, record.region});
    }
    return result;
}

lookup_response entry_engine::lookup(const std::string& service, const std::string& client_address,
                                     base::time_point now) {
    lookup_response response;
    const auto* policy = m_requests.policy();
    if (const auto reason = not_ready_reason()) {
        response.error = base::error_kind::not_ready;
        response.detail = *reason;
        return response;
    }
    if (policy->find_service(service) == nullptr) {
        response.error = base::error_kind::service_unknown;
        response.detail = service;
        return response;
    }
    response.service = service;
    response.home_region = policy->home_region(client_address);
    response.entries = lookup_entries(service, response.home_region, client_address, now);
    if (response.entries.empty()) {
        response.error = base::error_kind::stopping;
        response.detail = "no entry instance accepts new callers";
        return response;
    }
    response.lifetime = policy->content().lookup_lifetime;
    add_prefix(response, response.home_region.empty() ? m_identity.region : response.home_region, now);
    return response;
}

// A request ID prefix binds the caller's non-idempotent requests to this entry instance. It is not issued if
// the caller's home region has entry instances and this one is outside: the caller gets a prefix from one of
// those.
void entry_engine::add_prefix(lookup_response& response, const std::string& preferred_region,
                              base::time_point now) {
    const auto in_region = [&preferred_region](const lookup_entry& entry) {
        return entry.region == preferred_region;
    };
    const bool home_has_entries = std::any_of(response.entries.begin(), response.entries.end(), in_region);
    const bool detour = home_has_entries && m_identity.region != preferred_region;
    const auto& drained = m_requests.policy()->content().draining_entries;
    const bool leaving = m_state != run_state::running ||
                         std::find(drained.begin(), drained.end(), m_identity.name) != drained.end();
    if (detour || leaving) {
        return;
    }
    response.request_id_prefix = m_requests.issue_prefix(now);
    response.acceptance = m_requests.acceptance_left(now);
    if (!m_requests.is_non_idempotent(response.service)) {
        return;
    }
    const auto self =
        std::find_if(response.entries.begin(), response.entries.end(),
                     [this](const lookup_entry& entry) { return entry.name == m_identity.name; });
    if (self != response.entries.end()) {
        // The owner of the IDs comes first, which saves forwarding.
        std::rotate(response.entries.begin(), self, self + 1);
    }
}

std::optional<std::string> entry_engine::not_ready_reason() const {
    if (m_state == run_state::draining || m_state == run_state::stopped) {
        return "stopping";
    }
    if (m_requests.policy() == nullptr) {
        return "no policy received from the platform or a peer yet";
    }
    return std::nullopt;
}

void entry_engine::policy_read(std::int64_t revision, std::string document, base::time_point now,
                               effects& out) {
    adopt_policy(revision, std::move(document), now, out);
}

void entry_engine::adopt_policy(std::int64_t revision, std::string document, base::time_point now,
                                effects& out) {
    if (!m_policy_replica.would_adopt(revision)) {
        return;
    }
    std::vector<config::diagnostic> diagnostics;
    auto content = config::read_valid_policy(document, "policy", diagnostics);
    if (!content) {
        // The operator API validates policies, so only another writer can have stored an invalid one.
        base::log(base::log_level::error, "policy-rejected",
                  {{"revision", revision}, {"reason", config::to_string(diagnostics.front())}});
        m_policy_replica.reject(revision);
        return;
    }
    m_policy_replica.adopt(revision, document);
    base::log(base::log_level::info, "policy-in-force",
              {{"revision", revision}, {"change_id", content->change_id}});
    const auto policy = std::make_shared<const compiled_policy>(
        config::revisioned_policy{revision, std::move(document), std::move(*content)});
    const auto receiving = static_cast<std::uint32_t>(m_members.members().size() + 1);
    m_requests.set_policy(policy, receiving, now, out);
    apply_policy(now, out);
    out.emplace_back(publish_revision{revision});
    m_next_heartbeat = now; // the next heartbeat tells peers the revision
}

void entry_engine::apply_policy(base::time_point now, effects& out) {
    const auto& policy = *m_requests.policy();
    std::vector<membership::claimable_server> servers;
    for (const auto& server : policy.content().servers) {
        servers.push_back({server.name, server.service, server.failure_domain,
                           std::string(policy.content().region_of(server.failure_domain))});
    }
    for (const auto& service : policy.content().services) {
        const shifting::shift_key own{service.name, m_identity.region};
        if (!m_known_rates.contains({own.service, own.home_region})) {
            // Without a reference rate the limiter would use the own arrivals as the base, undivided among
            // the receiving entry instances. They are a large part of the region's traffic, so the allowance
            // would be too high. A small rate is set until the actual one is known, and almost nothing moves.
            m_requests.set_reference_rate(own, initial_reference_rate, now);
        }
    }
    const auto longest = policy.content().longest_timeout();
    m_members.set_silence_limit(m_control.ownership.term + longest);
    m_ownership.configure(servers, longest);
    // The specifications of owned servers may have changed.
    for (const auto& claim : m_ownership.claims()) {
        if (m_ownership.owns(claim.server, now)) {
            m_requests.server_owned(claim.server, base::duration::zero(), now, out);
        }
    }
    std::erase_if(m_first_claimed,
                  [&policy](const auto& item) { return policy.find_server(item.first) == nullptr; });
    m_applied_list_draining.clear();
    apply_instance_lists(now, out);
}

void entry_engine::instances_read(const std::vector<instance_record>& instances, base::time_point now,
                                  effects& out) {
    revalidate_after_pause(now, out);
    if (m_requests.policy() == nullptr) {
        return;
    }
    std::set<std::string> leaving;
    for (const auto& instance : instances) {
        if (instance.state != instance_state::leaving) {
            continue;
        }
        for (const auto& server : m_requests.policy()->content().servers) {
            if (server.address == instance.address && server.service == instance.service) {
                leaving.insert(server.name);
            }
        }
    }
    for (const auto& server : leaving) {
        if (!m_draining_by_sender[m_identity.name].contains(server)) {
            out.emplace_back(
                broadcast_to_peers{wire::drain_notice{server, wire::drain_evidence::instance_list}});
        }
    }
    m_list_expiry_by_sender.erase(m_identity.name);
    m_draining_by_sender[m_identity.name] = std::move(leaving);
    apply_instance_lists(now, out);
}

// A server counts as leaving while any entry instance that reads the instance list reports it as leaving.
void entry_engine::apply_instance_lists(base::time_point now, effects& out) {
    std::set<std::string> leaving;
    for (const auto& [sender, servers] : m_draining_by_sender) {
        leaving.insert(servers.begin(), servers.end());
    }
    for (const auto& server : leaving) {
        if (!m_applied_list_draining.contains(server)) {
            base::log(base::log_level::info, "server-leaving",
                      {{"server", server}, {"evidence", "instance-list"}});
            m_requests.server_draining(server, wire::drain_evidence::instance_list, now);
        }
    }
    for (const auto& server : m_applied_list_draining) {
        if (!leaving.contains(server)) {
            // The list shows the server as live again, so an earlier report by the server itself is outdated
            // too.
            m_requests.server_not_draining(server, wire::drain_evidence::instance_list, now, out);
            m_requests.server_not_draining(server, wire::drain_evidence::server_answer, now, out);
        }
    }
    m_applied_list_draining = std::move(leaving);
}

void entry_engine::tick(base::time_point now, effects& out) {
    if (now >= m_next_control) {
        control_tick(now, out);
    }
    if (now >= m_next_regional_summary) {
        send_regional_summaries(now, out);
    }
    m_requests.tick(now, out);
    advance_stop(now, out);
}

void entry_engine::begin_stop(base::time_point now, effects& out) {
    if (m_state != run_state::running) {
        return;
    }
    m_state = run_state::leaving;
    m_requests.set_id_issuance(id_issuance::stopped);
    m_state_since = now;
    m_next_heartbeat = now;
    base::log(base::log_level::info, "graceful-stop-started");
    control_tick(now, out);
}

void entry_engine::advance_stop(base::time_point now, effects& out) {
    if (m_state == run_state::leaving) {
        const auto* policy = m_requests.policy();
        const auto lifetime = policy == nullptr ? base::duration::zero() : policy->content().lookup_lifetime;
        if (now - m_state_since >= lifetime) {
            m_state = run_state::draining;
            m_state_since = now;
            m_requests.set_admission(admission_state::closed);
            m_ownership.stop();
            base::log(base::log_level::info, "admission-closed", {{"calls", m_requests.calls()}});
        }
    }
    const bool released = m_ownership.claims().empty();
    if (m_state == run_state::draining && m_requests.calls() == 0 && released) {
        m_state = run_state::stopped;
        send_heartbeats(now, out); // tells peers that no servers are claimed any more
    }
}

std::vector<member_report> entry_engine::members() const {
    std::vector<member_report> result;
    result.push_back({m_identity.name, m_identity.failure_domain, m_identity.region,
                      std::string(to_string(m_state)), m_policy_replica.revision(), member_reach::reachable});
    for (const auto& [name, member] : m_members.members()) {
        const auto revision = m_peer_revisions.find(name);
        const bool stopping = member.running == wire::running_state::stopping;
        result.push_back({name, member.record.failure_domain, member.record.region,
                          stopping ? "stopping" : std::string(membership::to_string(member.status)),
                          revision == m_peer_revisions.end() ? 0 : revision->second,
                          member.has_progressed && member.status == membership::member_status::alive
                              ? member_reach::reachable
                              : member_reach::not_reachable});
    }
    return result;
}

status_report entry_engine::status(base::time_point now) const {
    status_report report;
    report.entry = m_identity.name;
    report.failure_domain = m_identity.failure_domain;
    report.region = m_identity.region;
    report.state = to_string(m_state);
    report.incarnation = m_identity.incarnation;
    report.revision = m_policy_replica.revision();
    report.policy_document = m_policy_replica.document();
    report.not_ready_reason = not_ready_reason();
    report.members = members();
    for (const auto& [name, local] : m_requests.local_services()) {
        service_report service;
        service.name = name;
        service.usable_slots = local->pool.usable_slots(now);
        service.free_slots = local->pool.free_slots(now);
        service.in_flight = local->pool.in_flight();
        service.queued = static_cast<std::uint32_t>(local->queue.size());
        service.servers = local->pool.status(now);
        for (const auto& server : service.servers) {
            if (local->is_draining(server.name)) {
                service.draining_servers.push_back(server.name);
            }
        }
        report.services.push_back(std::move(service));
    }
    report.shifts = m_requests.shift_status(now);
    return report;
}

void entry_engine::update_gauges(base::time_point now) {
    m_requests.update_gauges(now);
}

} // namespace carawayway::engine
