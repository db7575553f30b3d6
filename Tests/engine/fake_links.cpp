// Simulated links between the engines: delay, order, cuts in one or both directions, loss of messages in
// transit, and the results of failed attempts to connect.
#include "Tests/engine/engine_world.hpp"

#include <utility>
#include <variant>

namespace carawayway::engine_test {

namespace {

using membership::contact_failure;
using std::chrono::milliseconds;

constexpr auto maintenance_interval = milliseconds(50);
constexpr auto idle_timeout = milliseconds(1500); // same as for real links
constexpr auto refused_interval = milliseconds(200);
constexpr auto connect_timeout = milliseconds(500);
constexpr auto handshake_timeout = milliseconds(1000);
constexpr auto summary_lag = milliseconds(2000);
constexpr std::uint32_t falsified_slots = 1000;
// One in this many of the lost calls that did not arrive is reported as never sent.
constexpr std::size_t unsent_share = 4;

// Reports free slots where there are none, or none where there are some.
void falsify(wire::entry_summary& summary, std::uint64_t choice) {
    for (auto& service : summary.services) {
        service.free_slots = choice % 2 == 0 ? 0 : falsified_slots;
        service.queued = 0;
        service.typical_latency_us = 1;
        service.home_rates.clear();
    }
}

} // namespace

engine_world::link_state& engine_world::link_of(const std::string& one, const std::string& other) {
    return m_links[one < other ? std::pair{one, other} : std::pair{other, one}];
}

base::duration engine_world::delay_between(const std::string& one, const std::string& other) {
    const std::string domain = domain_of_entry(one);
    const std::string other_domain = domain_of_entry(other);
    const bool same_region = region_of_domain(domain) == region_of_domain(other_domain);
    const base::duration base_delay = same_region ? milliseconds(1) : milliseconds(20);
    return base_delay + std::chrono::microseconds(choose(500));
}

void engine_world::send(process& from, const std::string& to, const wire::peer_message& message,
                        std::optional<std::uint64_t> call) {
    const std::string sender = from.record.name;
    auto& link = link_of(sender, to);
    if (!link.up) {
        if (call) {
            post({}, sender, [this, to, call = *call](entry_engine& engine, effects& out) {
                engine.peer_call_lost(to, call, engine::loss_evidence::never_sent, now(), out);
            });
        }
        return;
    }
    wire::received_message sent{{sender, from.record.incarnation, from.published_revision, 0}, message};
    base::duration delay = delay_between(sender, to);
    if (auto* summary = std::get_if<wire::entry_summary>(&sent.message)) {
        if (m_measurement == measurement::stopped) {
            return;
        }
        if (m_measurement == measurement::falsified) {
            falsify(*summary, m_random());
        }
    }
    if (call) {
        from.calls[{to, *call}] = {link.id, false};
    }
    const bool lags =
        m_measurement == measurement::lagging && std::holds_alternative<wire::entry_summary>(sent.message);
    if (lags) {
        delay += summary_lag;
    } else {
        auto& last = link.last_delivery[to];
        last = std::max(last, now() + delay);
        delay = last - now();
    }
    m_events.after(
        delay, [this, sender, to, id = link.id, sent, call] { handle_arrival(sender, to, id, sent, call); });
}

void engine_world::handle_arrival(const std::string& from, const std::string& to, std::uint64_t id,
                                  const wire::received_message& message, std::optional<std::uint64_t> call) {
    auto& link = link_of(from, to);
    if (!link.up || link.id != id) {
        return;
    }
    if (blocked(from, to) || !link.held[to].empty()) {
        link.held[to].push_back(
            [this, from, to, id, message, call] { handle_arrival(from, to, id, message, call); });
        return;
    }
    link.last_heard[to] = now();
    if (call) {
        m_processes.at(from).calls[{to, *call}].delivered = true;
    }
    auto& receiver = m_processes.at(to);
    if (const auto* result = std::get_if<wire::request_result>(&message.message)) {
        receiver.calls.erase({from, result->call});
    }
    deliver(receiver, [this, from, message](entry_engine& engine, effects& out) {
        engine.peer_message(from, message, now(), out);
    });
}

void engine_world::drop_link(const std::string& one, const std::string& other) {
    if (link_of(one, other).up) {
        lose_link(one, other);
    }
}

void engine_world::lose_link(const std::string& one, const std::string& other) {
    auto& link = link_of(one, other);
    link.up = false;
    link.held.clear();
    link.next_attempt = now() + refused_interval;
    report_link_loss(one, other, link.id);
    report_link_loss(other, one, link.id);
}

void engine_world::report_link_loss(const std::string& name, const std::string& peer, std::uint64_t id) {
    auto& one = m_processes.at(name);
    if (one.state == process_state::dead) {
        return;
    }
    deliver(one, [this, peer](entry_engine& engine, effects& out) { engine.link_down(peer, now(), out); });
    for (auto item = one.calls.begin(); item != one.calls.end();) {
        if (item->first.first != peer || item->second.link != id) {
            ++item;
            continue;
        }
        const bool unsent = !item->second.delivered && choose(unsent_share) == 0;
        const auto evidence =
            unsent ? engine::loss_evidence::never_sent : engine::loss_evidence::may_have_arrived;
        deliver(one, [this, peer, call = item->first.second, evidence](entry_engine& engine, effects& out) {
            engine.peer_call_lost(peer, call, evidence, now(), out);
        });
        item = one.calls.erase(item);
    }
}

void engine_world::maintain_links() {
    for (std::size_t one = 0; one < entry_names.size(); ++one) {
        for (std::size_t other = one + 1; other < entry_names.size(); ++other) {
            maintain_link(entry_names[one], entry_names[other]);
        }
    }
    m_events.after(maintenance_interval, [this] { maintain_links(); });
}

void engine_world::maintain_link(const std::string& one, const std::string& other) {
    auto& link = link_of(one, other);
    if (!link.up) {
        if (now() >= link.next_attempt) {
            connect(one, other);
        }
        return;
    }
    const auto idle = [&](const std::string& receiver) {
        return running(receiver) && now() - link.last_heard[receiver] > idle_timeout;
    };
    if (idle(one) || idle(other)) {
        lose_link(one, other);
    }
}

void engine_world::connect(const std::string& one, const std::string& other) {
    auto& link = link_of(one, other);
    const bool first_failed = report_unreachable(one, other, link);
    const bool second_failed = report_unreachable(other, one, link);
    if (first_failed || second_failed || !running(one) || !running(other)) {
        return;
    }
    link.up = true;
    link.id = ++m_last_link;
    link.held.clear();
    for (const auto& [name, peer] : {std::pair{one, other}, std::pair{other, one}}) {
        link.last_heard[name] = now();
        link.last_delivery[name] = now();
        const auto& remote = m_processes.at(peer).record;
        wire::hello hello;
        hello.name = remote.name;
        hello.failure_domain = remote.failure_domain;
        hello.region = remote.region;
        hello.incarnation = remote.incarnation;
        hello.caller_address = remote.caller_address;
        hello.peer_address = remote.peer_address;
        deliver(m_processes.at(name), [this, peer = peer, hello](entry_engine& engine, effects& out) {
            engine.link_up(peer, hello, now(), out);
        });
    }
}

// If an attempt of `name` to connect to `peer` fails, reports the failure to its engine and returns true.
bool engine_world::report_unreachable(const std::string& name, const std::string& peer, link_state& link) {
    const auto& target = m_processes.at(peer);
    auto evidence = contact_failure::refused;
    base::duration wait = milliseconds(2);
    base::duration pause = refused_interval;
    if (blocked(name, peer) || blocked(peer, name) || target.host == host_state::down) {
        evidence = contact_failure::timed_out;
        wait = pause = connect_timeout;
    } else if (target.state == process_state::paused) {
        evidence = contact_failure::handshake_timed_out;
        wait = pause = handshake_timeout;
    } else if (target.state == process_state::running) {
        return false;
    }
    if (!running(name)) {
        return true;
    }
    link.next_attempt = now() + pause;
    post(wait, name, [this, peer, evidence](entry_engine& engine, effects& out) {
        engine.connect_failed(peer, evidence, now(), out);
    });
    return true;
}

void engine_world::cut(const std::string& one, const std::string& other) {
    block(one, other);
    block(other, one);
}

void engine_world::cut_domain(const std::string& domain, const std::set<std::string>& from) {
    for (const auto& entry : entry_names) {
        if (domain_of_entry(entry) != domain) {
            continue;
        }
        for (const auto& other : entry_names) {
            if (from.contains(domain_of_entry(other))) {
                cut(entry, other);
            }
        }
        if (from.contains("platform")) {
            cut(entry, "platform");
        }
    }
}

void engine_world::heal() {
    m_blocked.clear();
    for (auto& [names, link] : m_links) {
        auto held = std::exchange(link.held, {});
        for (auto& [receiver, messages] : held) {
            for (auto& message : messages) {
                message();
            }
        }
    }
    notify_watchers(&engine_world::send_policy_to_watcher);
    notify_watchers(&engine_world::send_instance_list_to_watcher);
}

} // namespace carawayway::engine_test
