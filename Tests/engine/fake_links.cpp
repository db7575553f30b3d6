// Links between the engines of a world: delay, order, cuts in one or both directions, loss with messages on
// the way, and the evidence of failed attempts to connect.
#include "Tests/engine/engine_world.hpp"

#include <utility>
#include <variant>

namespace carawayway::engine_test {

namespace {

using membership::contact_failure;
using std::chrono::milliseconds;

constexpr auto maintenance_interval = milliseconds(50);
constexpr auto idle_timeout = milliseconds(1500); // as of real links
constexpr auto refused_interval = milliseconds(200);
constexpr auto connect_timeout = milliseconds(500);
constexpr auto handshake_timeout = milliseconds(1000);
constexpr auto summary_lag = milliseconds(2000);
constexpr std::uint32_t lying_slots = 1000;
constexpr std::size_t unsent_share = 4; // of the lost calls that did not arrive, one in this many never left

// A measurement that claims room where there is none, or none where there is room.
void falsify(wire::entry_summary& summary, std::uint64_t choice) {
    for (auto& service : summary.services) {
        service.free_slots = choice % 2 == 0 ? 0 : lying_slots;
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
    auto& between = link_of(sender, to);
    if (!between.up) {
        if (call) {
            post({}, sender, [this, to, call = *call](entry_engine& engine, effects& out) {
                engine.peer_call_lost(to, call, engine::loss_evidence::never_sent, now(), out);
            });
        }
        return;
    }
    wire::received_message sent{{sender, from.record.incarnation, from.published, 0}, message};
    base::duration delay = delay_between(sender, to);
    if (auto* summary = std::get_if<wire::entry_summary>(&sent.message)) {
        if (m_measurement == measurement::stopped) {
            return;
        }
        if (m_measurement == measurement::lying) {
            falsify(*summary, m_random());
        }
    }
    if (call) {
        from.calls[{to, *call}] = {between.id, false};
    }
    const bool lags =
        m_measurement == measurement::lagging && std::holds_alternative<wire::entry_summary>(sent.message);
    if (lags) {
        delay += summary_lag;
    } else {
        auto& last = between.last_delivery[to];
        last = std::max(last, now() + delay);
        delay = last - now();
    }
    m_events.after(delay,
                   [this, sender, to, id = between.id, sent, call] { arrive(sender, to, id, sent, call); });
}

void engine_world::arrive(const std::string& from, const std::string& to, std::uint64_t id,
                          const wire::received_message& message, std::optional<std::uint64_t> call) {
    auto& between = link_of(from, to);
    if (!between.up || between.id != id) {
        return;
    }
    if (blocked(from, to) || !between.held[to].empty()) {
        between.held[to].push_back(
            [this, from, to, id, message, call] { arrive(from, to, id, message, call); });
        return;
    }
    between.last_heard[to] = now();
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
    auto& between = link_of(one, other);
    between.up = false;
    between.held.clear();
    between.next_attempt = now() + refused_interval;
    lose_side(one, other, between.id);
    lose_side(other, one, between.id);
}

void engine_world::lose_side(const std::string& name, const std::string& peer, std::uint64_t id) {
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
            maintain(entry_names[one], entry_names[other]);
        }
    }
    m_events.after(maintenance_interval, [this] { maintain_links(); });
}

void engine_world::maintain(const std::string& one, const std::string& other) {
    auto& between = link_of(one, other);
    if (!between.up) {
        if (now() >= between.next_attempt) {
            connect(one, other);
        }
        return;
    }
    const auto idle = [&](const std::string& receiver) {
        return running(receiver) && now() - between.last_heard[receiver] > idle_timeout;
    };
    if (idle(one) || idle(other)) {
        lose_link(one, other);
    }
}

void engine_world::connect(const std::string& one, const std::string& other) {
    auto& between = link_of(one, other);
    const bool first_failed = report_unreachable(one, other, between);
    const bool second_failed = report_unreachable(other, one, between);
    if (first_failed || second_failed || !running(one) || !running(other)) {
        return;
    }
    between.up = true;
    between.id = ++m_last_link;
    between.held.clear();
    for (const auto& [name, peer] : {std::pair{one, other}, std::pair{other, one}}) {
        between.last_heard[name] = now();
        between.last_delivery[name] = now();
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

// Reports what an attempt of `name` to connect to `peer` shows, when it fails.
bool engine_world::report_unreachable(const std::string& name, const std::string& peer, link_state& between) {
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
    between.next_attempt = now() + pause;
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
    for (auto& [names, between] : m_links) {
        auto held = std::exchange(between.held, {});
        for (auto& [receiver, messages] : held) {
            for (auto& message : messages) {
                message();
            }
        }
    }
    watchers(&engine_world::policy_to_watcher);
    watchers(&engine_world::list_to_watcher);
}

} // namespace carawayway::engine_test
