// Events from callers, servers and the platform; adoption of policies; graceful stop.
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

// Slots. An entry instance without own servers of a service still serves some callers, by passing requests
// on.
constexpr double least_lookup_weight = 0.25;
constexpr std::size_t lookup_sample_elsewhere = 16;
constexpr double rate_before_known = 1.0; // requests per second

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
          [this](std::string_view server) { return reachable(server); }, now),
      m_spread(membership::policy_replica_settings{}), m_summaries(control.summary_lifetime),
      m_state_since(now), m_next_control(now), m_next_heartbeat(now), m_next_summary(now),
      m_next_near_summary(now),
      m_heartbeat_bytes(control.heartbeat_bytes_per_second, control.heartbeat_bytes_per_second, now),
      m_summary_bytes(control.summary_bytes_per_second, control.summary_bytes_per_second, now),
      m_near_summary_bytes(control.near_summary_bytes_per_second, 2 * control.near_summary_bytes_per_second,
                           now),
      m_next_slow_work(now) {}

void entry_engine::add_seed(const wire::member_record& seed, base::time_point now) {
    m_members.add_seed(seed, now);
    m_requests.peers().set_member(seed.name, seed.failure_domain, seed.region, seed.incarnation);
}

// A process that was paused may have lost servers to others in the meantime. It finds out before it acts on
// any event.
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
    publish_drain_evidence(now, out);
}

void entry_engine::peer_call_lost(const std::string& peer, std::uint64_t call, loss_evidence evidence,
                                  base::time_point now, effects& out) {
    revalidate_after_pause(now, out);
    m_requests.peer_call_lost(peer, call, evidence, now, out);
}

void entry_engine::server_probed(const std::string& server, reachability result, base::time_point now) {
    if (result == reachability::reachable) {
        m_reachable[server] = now;
    } else {
        m_reachable.erase(server);
    }
}

// Live entry instances in the order in which the client should try them.
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
                           std::max(slots, least_lookup_weight)});
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
    std::vector<const wire::member_record*> elsewhere;
    for (const auto& [name, member] : m_members.members()) {
        const bool usable = member.has_progressed && member.status == membership::member_status::alive &&
                            member.running != wire::running_state::stopping &&
                            member.record.caller_address.port != 0 && offered(name);
        if (usable && member.record.region == preferred) {
            add_member(member.record);
        } else if (usable) {
            elsewhere.push_back(&member.record);
        }
    }
    // Ranking all of a large deployment costs more than it is worth: a sample of the other regions is enough,
    // and different clients get different ones.
    const std::size_t sample = std::min(elsewhere.size(), lookup_sample_elsewhere);
    const std::uint64_t first = base::hash_bytes(client_address);
    for (std::size_t index = 0; index < sample; ++index) {
        add_member(*elsewhere[(first + index) % elsewhere.size()]);
    }
    return choose_lookup_entries(shifting::lookup_order(preferred, client_address, entries), records,
                                 preferred);
}

// Home entries first, but never only those: a caller whose region is lost needs others to go to.
std::vector<lookup_entry>
entry_engine::choose_lookup_entries(const std::vector<std::size_t>& order,
                                    const std::vector<const wire::member_record*>& records,
                                    const std::string& preferred_region) const {
    std::vector<std::size_t> home;
    std::vector<std::size_t> away;
    for (const auto index : order) {
        (records[index]->region == preferred_region ? home : away).push_back(index);
    }
    const std::size_t places = m_control.lookup_entries;
    const std::size_t kept_for_others = std::min(away.size(), m_control.lookup_entries_elsewhere);
    home.resize(std::min(home.size(), places - kept_for_others));
    away.resize(std::min(away.size(), places - home.size()));
    home.insert(home.end(), away.begin(), away.end());
    std::vector<lookup_entry> result;
    for (const auto index : home) {
        const auto& record = *records[index];
        result.push_back({record.name, to_text(record.caller_address), record.failure_domain, record.region});
    }
    return result;
}

lookup_response entry_engine::lookup(const std::string& service, const std::string& client_address,
                                     base::time_point now) {
    lookup_response answer;
    const auto* policy = m_requests.policy();
    if (const auto reason = not_ready_reason()) {
        answer.error = base::error_kind::not_ready;
        answer.detail = *reason;
        return answer;
    }
    if (policy->find_service(service) == nullptr) {
        answer.error = base::error_kind::service_unknown;
        answer.detail = service;
        return answer;
    }
    answer.service = service;
    answer.home_region = policy->home_region(client_address);
    answer.entries = lookup_entries(service, answer.home_region, client_address, now);
    if (answer.entries.empty()) {
        answer.error = base::error_kind::stopping;
        answer.detail = "no entry instance takes new callers";
        return answer;
    }
    answer.lifetime = policy->content().lookup_lifetime;
    add_prefix(answer, answer.home_region.empty() ? m_identity.region : answer.home_region, now);
    return answer;
}

// A prefix binds the caller's non-idempotent requests to this entry instance. It is only given when that is
// no detour: a caller whose home region has other entry instances asks one of those.
void entry_engine::add_prefix(lookup_response& answer, const std::string& preferred_region,
                              base::time_point now) {
    const auto in_region = [&preferred_region](const lookup_entry& entry) {
        return entry.region == preferred_region;
    };
    const bool home_has_entries = std::any_of(answer.entries.begin(), answer.entries.end(), in_region);
    const bool detour = home_has_entries && m_identity.region != preferred_region;
    const auto& drained = m_requests.policy()->content().draining_entries;
    const bool leaving = m_state != run_state::running ||
                         std::find(drained.begin(), drained.end(), m_identity.name) != drained.end();
    if (detour || leaving) {
        return;
    }
    answer.request_id_prefix = m_requests.issue_prefix(now);
    answer.acceptance = m_requests.acceptance_left(now);
    if (!m_requests.is_non_idempotent(answer.service)) {
        return;
    }
    const auto self =
        std::find_if(answer.entries.begin(), answer.entries.end(),
                     [this](const lookup_entry& entry) { return entry.name == m_identity.name; });
    if (self != answer.entries.end()) {
        std::rotate(answer.entries.begin(), self,
                    self + 1); // the owner of the ID first: no hop between entries
    }
}

std::optional<std::string> entry_engine::not_ready_reason() const {
    if (m_state == run_state::draining || m_state == run_state::stopped) {
        return "stopping";
    }
    if (m_requests.policy() == nullptr) {
        return "no policy from the platform or from any peer yet";
    }
    return std::nullopt;
}

void entry_engine::policy_read(std::int64_t revision, std::string document, base::time_point now,
                               effects& out) {
    adopt_policy(revision, std::move(document), now, out);
}

void entry_engine::adopt_policy(std::int64_t revision, std::string document, base::time_point now,
                                effects& out) {
    if (!m_spread.would_adopt(revision)) {
        return;
    }
    std::vector<config::diagnostic> diagnostics;
    auto content = config::read_valid_policy(document, "policy", diagnostics);
    if (!content) {
        // Only a writer that bypasses the operators' interface can store an invalid policy.
        base::log(base::log_level::error, "policy-rejected",
                  {{"revision", revision}, {"reason", config::to_string(diagnostics.front())}});
        m_spread.reject(revision);
        return;
    }
    m_spread.adopt(revision, document);
    base::log(base::log_level::info, "policy-in-force",
              {{"revision", revision}, {"change_id", content->change_id}});
    const auto policy = std::make_shared<const compiled_policy>(
        config::revisioned_policy{revision, std::move(document), std::move(*content)});
    const auto receiving = static_cast<std::uint32_t>(m_members.members().size() + 1);
    m_requests.set_policy(policy, receiving, now, out);
    apply_policy(now, out);
    out.emplace_back(publish_revision{revision});
    m_next_heartbeat = now; // peers learn about the revision from the next heartbeat
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
            // What arrives here is a large part of the own region's traffic. Taken as the base it would not
            // be divided by the receiving entry instances, so next to nothing moves until the rate is known.
            m_requests.set_reference_rate(own, rate_before_known, now);
        }
    }
    const auto longest = policy.content().longest_timeout();
    m_members.set_silence_limit(m_control.ownership.term + longest);
    m_ownership.configure(servers, longest);
    // Specifications of owned servers may have changed.
    for (const auto& claim : m_ownership.claims()) {
        if (m_ownership.owns(claim.server, now)) {
            m_requests.server_owned(claim.server, base::duration::zero(), now, out);
        }
    }
    std::erase_if(m_served_since,
                  [&policy](const auto& item) { return policy.find_server(item.first) == nullptr; });
    m_applied_list_draining.clear();
    apply_list_draining(now, out);
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
        if (!m_list_draining[m_identity.name].contains(server)) {
            out.emplace_back(
                broadcast_to_peers{wire::drain_notice{server, wire::drain_evidence::instance_list}});
        }
    }
    m_list_expiry.erase(m_identity.name);
    m_list_draining[m_identity.name] = std::move(leaving);
    apply_list_draining(now, out);
}

// A server is leaving while any entry instance that reads the platform's list says so.
void entry_engine::apply_list_draining(base::time_point now, effects& out) {
    std::set<std::string> leaving;
    for (const auto& [sender, servers] : m_list_draining) {
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
            // The list shows it live again after it was leaving: also what the server said before is
            // outdated.
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
    if (now >= m_next_near_summary) {
        send_near_summaries(now, out);
    }
    m_requests.tick(now, out);
    advance_stop(now, out);
}

void entry_engine::begin_stop(base::time_point now, effects& out) {
    if (m_state != run_state::running) {
        return;
    }
    m_state = run_state::leaving;
    m_requests.set_id_issue(id_issue::stopped);
    m_state_since = now;
    m_next_heartbeat = now;
    base::log(base::log_level::info, "stop-begun");
    control_tick(now, out);
}

void entry_engine::advance_stop(base::time_point now, effects& out) {
    if (m_state == run_state::leaving) {
        const auto* policy = m_requests.policy();
        const auto lifetime = policy == nullptr ? base::duration::zero() : policy->content().lookup_lifetime;
        if (now - m_state_since >= lifetime) {
            m_state = run_state::draining;
            m_state_since = now;
            m_requests.set_intake(intake::closed);
            m_ownership.stop();
            base::log(base::log_level::info, "intake-closed", {{"calls", m_requests.calls()}});
        }
    }
    const bool released = m_ownership.claims().empty();
    if (m_state == run_state::draining && m_requests.calls() == 0 && released) {
        m_state = run_state::stopped;
        send_heartbeats(now, out); // tells the peers that nothing is claimed any more
    }
}

std::vector<member_report> entry_engine::members() const {
    std::vector<member_report> result;
    result.push_back({m_identity.name, m_identity.failure_domain, m_identity.region,
                      std::string(to_string(m_state)), m_spread.revision(), member_reach::reachable});
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
    report.revision = m_spread.revision();
    report.policy_document = m_spread.document();
    report.not_ready_reason = not_ready_reason();
    report.members = members();
    for (const auto& [name, lane] : m_requests.lanes()) {
        service_report service;
        service.name = name;
        service.usable_slots = lane->pool.usable_slots(now);
        service.free_slots = lane->pool.free_slots(now);
        service.in_flight = lane->pool.in_flight();
        service.queued = static_cast<std::uint32_t>(lane->queue.size());
        service.servers = lane->pool.status(now);
        for (const auto& server : service.servers) {
            if (lane->draining(server.name)) {
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
