// Each step of virtual time delivers messages, ticks the running processes, dispatches requests and checks
// the owners.
#include "Tests/membership/ownership_harness.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace carawayway::membership {

namespace {

constexpr base::duration heartbeat_interval = std::chrono::milliseconds(250);
constexpr base::duration handshake_timeout_after =
    std::chrono::milliseconds(2500); // idle timeout + handshake timeout
constexpr std::size_t relayed_counters_per_heartbeat = 3;

} // namespace

void ownership_harness::add_entries(const std::vector<std::pair<std::string, std::string>>& entries) {
    for (const auto& [name, domain] : entries) {
        m_processes[name].record = {name, domain, "uusimaa", 0, {"127.0.0.1", 1}, {"127.0.0.1", 2}};
    }
}

void ownership_harness::add_servers(const std::vector<std::pair<std::string, std::string>>& servers) {
    for (const auto& [name, domain] : servers) {
        m_servers.push_back({name, "varaus", domain, "uusimaa"});
    }
}

void ownership_harness::start(const std::string& entry) {
    process& one = m_processes.at(entry);
    const wire::member_record record = one.record;
    one = {};
    one.record = record;
    one.record.incarnation = m_next_incarnation++;
    one.alive = true;
    member_settings settings;
    settings.silence_limit = m_settings.ownership.term + m_settings.longest_timeout;
    settings.full_mesh_limit = m_settings.full_mesh_limit;
    settings.delegates = m_settings.delegates;
    one.members = std::make_unique<member_table>(one.record, settings, m_now);
    for (const auto& [name, other] : m_processes) {
        wire::member_record seed = other.record;
        seed.incarnation = 0;
        one.members->add_seed(seed, m_now);
    }
    one.ownership = std::make_unique<server_ownership>(
        *one.members, m_settings.ownership,
        [&one](std::string_view server) {
            const auto found = one.in_flight.find(server);
            return found == one.in_flight.end() ? 0 : found->second;
        },
        [this, entry](std::string_view server) { return m_reachable && m_reachable(entry, server); }, m_now);
    one.ownership->configure(m_servers, m_settings.longest_timeout);
    one.next_heartbeat = m_now;
}

void ownership_harness::kill(const std::string& entry) {
    m_processes.at(entry).alive = false;
}

void ownership_harness::pause(const std::string& entry) {
    m_processes.at(entry).paused = true;
}

void ownership_harness::resume(const std::string& entry) {
    m_processes.at(entry).paused = false;
}

void ownership_harness::stop(const std::string& entry) {
    process& one = m_processes.at(entry);
    one.stopping = true;
    one.ownership->stop();
}

bool ownership_harness::running(const std::string& entry) const {
    const process& one = m_processes.at(entry);
    return one.alive && !one.paused;
}

bool ownership_harness::paused(const std::string& entry) const {
    return m_processes.at(entry).paused;
}

void ownership_harness::run_for(base::duration time) {
    run_until([] { return false; }, time);
}

base::duration ownership_harness::run_until(const std::function<bool()>& condition, base::duration limit) {
    const auto started = m_now;
    while (!condition() && m_now - started < limit) {
        step();
    }
    return m_now - started;
}

void ownership_harness::step() {
    m_now += m_settings.step;
    finish_executions();
    for (auto& [name, one] : m_processes) {
        if (running(name)) {
            connect(one);
            deliver(one);
        }
    }
    // Dispatch before the tick as well, because a resumed process may handle a request before its tick.
    for (auto& [name, one] : m_processes) {
        if (running(name)) {
            dispatch_requests(one);
            tick(one);
            dispatch_requests(one);
        }
    }
    check_single_owner();
}

bool ownership_harness::connected(const process& one, const process& other) const {
    return one.needed_peers.contains(other.record.name) ||
           (other.alive && other.needed_peers.contains(one.record.name));
}

// Opens missing links and reports failed attempts to connect. Attempts are made at each heartbeat interval.
void ownership_harness::connect(process& one) {
    if (m_now >= one.next_heartbeat) {
        one.needed_peers.clear();
        for (const auto& peer : one.members->needed_links()) {
            one.needed_peers.insert(peer.name);
        }
        for (const auto& peer : one.ownership->needed_links()) {
            one.needed_peers.insert(peer.name);
        }
    }
    for (auto& [name, other] : m_processes) {
        if (name == one.record.name) {
            continue;
        }
        if (!connected(one, other)) {
            one.members->link_down(name);
            one.linked_incarnations.erase({name, other.record.incarnation});
            continue;
        }
        const std::pair key{name, other.record.incarnation};
        if (other.alive && !other.paused && one.linked_incarnations.insert(key).second) {
            one.members->link_up(other.record, m_now);
        }
        if (m_now < one.next_heartbeat) {
            continue;
        }
        const member* known = one.members->find(name);
        if (!other.alive) {
            one.members->link_down(name);
            one.members->connect_failed(name, contact_failure::refused, m_now);
        } else if (other.paused && known != nullptr &&
                   m_now - known->last_progress > handshake_timeout_after) {
            one.members->link_down(name);
            one.linked_incarnations.erase(key);
            one.members->connect_failed(name, contact_failure::handshake_timed_out, m_now);
        }
    }
}

void ownership_harness::deliver(process& receiver) {
    for (auto& [from, queue] : receiver.inbox) {
        while (!queue.empty() && queue.front().at <= m_now) {
            const delivery received = std::move(queue.front());
            queue.pop_front();
            handle(receiver, received);
        }
    }
}

void ownership_harness::handle(process& receiver, const delivery& received) {
    const auto& [at, from, incarnation, message] = received;
    member_table& members = *receiver.members;
    server_ownership& ownership = *receiver.ownership;
    members.message_received(from, incarnation, m_now);
    if (const auto* heartbeat = std::get_if<wire::heartbeat>(&message)) {
        members.heartbeat(from, incarnation, *heartbeat, m_now);
        ownership.observe_heartbeat(from, incarnation, *heartbeat, m_now);
    } else if (const auto* request = std::get_if<wire::claims_request>(&message)) {
        send(receiver, from, ownership.answer_claims_request(from, incarnation, *request, m_now));
    } else if (const auto* report = std::get_if<wire::claims_report>(&message)) {
        ownership.observe_report(from, incarnation, *report, m_now);
    }
}

void ownership_harness::send(process& from, const std::string& to, wire::peer_message message) {
    process& receiver = m_processes.at(to);
    if (!receiver.alive || !connected(from, receiver)) {
        return;
    }
    auto& queue = receiver.inbox[from.record.name];
    std::uniform_int_distribution<std::int64_t> delay(0, m_settings.delay_maximum.count());
    base::time_point at = m_now + base::duration(delay(m_random));
    if (!queue.empty()) {
        at = std::max(at, queue.back().at);
    }
    queue.push_back({at, from.record.name, from.record.incarnation, std::move(message)});
}

void ownership_harness::tick(process& one) {
    one.members->tick(m_now);
    one.ownership->tick(m_now);
    for (auto& request : one.ownership->take_claims_requests(m_now)) {
        send(one, request.entry, std::move(request.request));
    }
    const bool changed = one.ownership->claims_version() != one.sent_claims_version;
    if (m_now < one.next_heartbeat && !changed) {
        return;
    }
    one.sent_claims_version = one.ownership->claims_version();
    one.next_heartbeat = m_now + heartbeat_interval;
    const auto state = one.stopping                      ? wire::running_state::stopping
                       : one.ownership->start_complete() ? wire::running_state::running
                                                         : wire::running_state::starting;
    ++one.counter;
    const relay_counters relayed = one.members->next_counters_to_relay(relayed_counters_per_heartbeat);
    for (const auto& [name, other] : m_processes) {
        if (name != one.record.name && connected(one, other)) {
            const bool same_domain = other.record.failure_domain == one.record.failure_domain;
            send(one, name,
                 wire::heartbeat{one.counter, state, one.sent_claims_version, one.ownership->claims(),
                                 same_domain ? relayed.for_own_domain : relayed.for_other_domains});
        }
    }
}

// Keeps one request of random duration in flight on each server that `one` may dispatch to.
void ownership_harness::dispatch_requests(process& one) {
    if (m_load == load::none) {
        return;
    }
    std::uniform_int_distribution<std::int64_t> request_duration(m_settings.step.count(),
                                                                 m_settings.longest_timeout.count());
    for (const auto& server : m_servers) {
        if (!one.ownership->owns(server.name, m_now) || one.in_flight[server.name] > 0) {
            continue;
        }
        auto& executions = m_executions[server.name];
        for (const auto& other : executions) {
            if (other.incarnation != one.record.incarnation) {
                m_violations.push_back(fmt::format("{} ms: {} dispatches to {} while a request of {} runs",
                                                   base::to_milliseconds(m_now.time_since_epoch()),
                                                   one.record.name, server.name, other.entry));
            }
        }
        executions.push_back(
            {one.record.name, one.record.incarnation, m_now + base::duration(request_duration(m_random))});
        ++one.in_flight[server.name];
    }
}

// A server ends a request at its deadline, even if the entry instance that sent it is gone.
void ownership_harness::finish_executions() {
    for (auto& [server, executions] : m_executions) {
        std::erase_if(executions, [this, &name = server](const execution& done) {
            if (done.until > m_now) {
                return false;
            }
            process& owner = m_processes.at(done.entry);
            if (owner.alive && owner.record.incarnation == done.incarnation) {
                --owner.in_flight[name];
            }
            return true;
        });
    }
}

void ownership_harness::check_single_owner() {
    for (const auto& server : m_servers) {
        std::vector<std::string> owners;
        for (const auto& [name, one] : m_processes) {
            if (running(name) && one.ownership->owns(server.name, m_now)) {
                owners.push_back(name);
            }
        }
        if (owners.size() > 1) {
            m_violations.push_back(fmt::format("{} ms: {} and {} may dispatch to {}",
                                               base::to_milliseconds(m_now.time_since_epoch()), owners[0],
                                               owners[1], server.name));
        }
    }
}

bool ownership_harness::owns(const std::string& entry, const std::string& server) const {
    return running(entry) && m_processes.at(entry).ownership->owns(server, m_now);
}

std::string ownership_harness::owner_of(const std::string& server) const {
    for (const auto& [name, one] : m_processes) {
        if (owns(name, server)) {
            return name;
        }
    }
    return {};
}

std::size_t ownership_harness::owned_by(const std::string& entry) const {
    return static_cast<std::size_t>(std::count_if(
        m_servers.begin(), m_servers.end(), [&](const auto& server) { return owns(entry, server.name); }));
}

std::size_t ownership_harness::owned_servers() const {
    return static_cast<std::size_t>(
        std::count_if(m_servers.begin(), m_servers.end(),
                      [&](const auto& server) { return !owner_of(server.name).empty(); }));
}

} // namespace carawayway::membership
