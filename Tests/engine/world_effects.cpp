// The effects of the engines of a world: attempts at servers, messages, answers and watches.
#include "Tests/engine/engine_world.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <variant>

namespace carawayway::engine_test {

namespace {

using engine::attempt_outcome;
using std::chrono::milliseconds;

constexpr auto client_delay = milliseconds(3);
constexpr auto connect_timeout = milliseconds(500);
constexpr auto server_delay = milliseconds(1);
constexpr int thread_delay_limit = 500; // microseconds between two threads of an entry instance

} // namespace

void engine_world::carry_out(process& one, engine::respond_to_caller& effect) {
    const auto found = one.callers.find(effect.token);
    if (found == one.callers.end()) {
        m_faults.push_back(one.record.name + " answered a caller twice");
        return;
    }
    m_events.after(client_delay, [handler = found->second, answer = effect.response] { handler(answer); });
    one.callers.erase(found);
}

// Each time a request is sent to another region counts, as it uses up allowance. The receiver does not count
// it again.
void engine_world::record_move(const std::string& id, const std::string& service, const std::string& region,
                               const std::string& entry) {
    const auto& home = m_homes[id];
    if (!home.empty() && home != region && !m_passed.contains({entry, id})) {
        record(test_support::request_moved{service + " at " + entry, home, region});
        m_moves.push_back({now(), service, home});
        mark(step::shift, entry);
    }
}

void engine_world::carry_out(process& one, engine::start_attempt& effect) {
    const std::string name = one.record.name;
    mark(step::dispatch, name, effect.server);
    record_move(effect.request_id, effect.request->service, m_servers.region(effect.server), name);
    auto& user = m_last_user[effect.server];
    if (!user.empty() && user != name) {
        mark(step::takeover, name, effect.server);
    }
    user = name;
    one.attempts[effect.attempt] = {0, ++m_last_number};
    post(std::chrono::microseconds(choose(thread_delay_limit)), name,
         [this, name, attempt = effect](entry_engine&, effects&) {
             connect_attempt(m_processes.at(name), attempt);
         });
}

// A cut between failure domains also separates entry instances from the servers of the other domain.
bool engine_world::server_reachable(const std::string& entry, const std::string& server) const {
    const auto* known = m_policy.find_server(server);
    return std::none_of(entry_names.begin(), entry_names.end(), [&](const std::string& other) {
        return domain_of_entry(other) == known->failure_domain && blocked(entry, other);
    });
}

void engine_world::connect_attempt(process& one, const engine::start_attempt& attempt) {
    const std::string name = one.record.name;
    const auto found = one.attempts.find(attempt.attempt);
    if (found == one.attempts.end()) {
        return; // cancelled before it began
    }
    const auto serial = found->second.serial;
    const auto end = [this, name, serial, number = attempt.attempt](engine::server_result result) {
        end_attempt(name, serial, number, std::move(result));
    };
    if (now() > attempt.write_deadline) {
        end(failed_attempt(attempt_outcome::not_sent));
        return;
    }
    if (!server_reachable(name, attempt.server)) {
        m_events.after(std::min<base::duration>(connect_timeout, attempt.timeout),
                       [end] { end(failed_attempt(attempt_outcome::not_sent)); });
        return;
    }
    m_events.after(server_delay, [this, name, serial, attempt, end] {
        auto& sender = m_processes.at(name);
        const auto open = sender.attempts.find(attempt.attempt);
        if (open != sender.attempts.end() && open->second.serial == serial) {
            check_single_owner(name, attempt.server);
            open->second.connection = m_servers.open(attempt, end);
        }
    });
    m_events.after(attempt.timeout, [end] { end(failed_attempt(attempt_outcome::timed_out)); });
}

// An entry instance may still use a server shortly after it gave it up, but never one that another owns.
void engine_world::check_single_owner(const std::string& sender, const std::string& server) {
    for (const auto& [name, one] : m_processes) {
        if (name != sender && one.state != process_state::dead &&
            one.engine->ownership().owns(server, now())) {
            m_faults.push_back(
                fmt::format("{} used {}, which {} owns, at {} ms", sender, server, name, elapsed(now())));
        }
    }
}

// The first result counts. Timers and results of a paused process wait for it.
void engine_world::end_attempt(const std::string& entry, std::uint64_t serial, std::uint64_t attempt,
                               engine::server_result result) {
    auto& one = m_processes.at(entry);
    const auto current = one.attempts.find(attempt);
    if (current == one.attempts.end() || current->second.serial != serial) {
        return;
    }
    deliver(one,
            [this, entry, serial, attempt, result = std::move(result)](entry_engine& engine, effects& out) {
                auto& attempts = m_processes.at(entry).attempts;
                const auto found = attempts.find(attempt);
                if (found == attempts.end() || found->second.serial != serial) {
                    return;
                }
                m_servers.close(found->second.connection);
                attempts.erase(found);
                engine.attempt_finished(attempt, result, now(), out);
            });
}

void engine_world::carry_out(process& one, engine::cancel_attempt& effect) {
    const auto found = one.attempts.find(effect.attempt);
    if (found != one.attempts.end()) {
        // The backend thread closes the connection and reports back.
        post(std::chrono::microseconds(choose(thread_delay_limit)), one.record.name,
             [this, name = one.record.name, serial = found->second.serial,
              attempt = effect.attempt](entry_engine&, effects&) {
                 end_attempt(name, serial, attempt, failed_attempt(attempt_outcome::cancelled));
             });
    }
}

void engine_world::carry_out(process& one, engine::send_to_peer& effect) {
    if (effect.call) {
        mark(step::passing_to_peer, one.record.name);
    }
    if (const auto* execute = std::get_if<wire::execute_request>(&effect.message)) {
        record_move(execute->request.request_id, execute->request.service,
                    region_of_domain(domain_of_entry(effect.entry)), one.record.name);
        m_passed.insert({effect.entry, execute->request.request_id});
    }
    if (std::holds_alternative<wire::policy_document>(effect.message)) {
        mark(step::policy_spread, one.record.name);
    }
    send(one, effect.entry, effect.message, effect.call);
}

void engine_world::carry_out(process& one, engine::broadcast_to_peers& effect) {
    for (const auto& peer : entry_names) {
        if (peer != one.record.name && link_of(one.record.name, peer).up) {
            send(one, peer, effect.message, std::nullopt);
        }
    }
}

void engine_world::carry_out(process& one, engine::probe_server& effect) {
    const bool reachable = m_servers.up(effect.server) && server_reachable(one.record.name, effect.server);
    using result = entry_engine::reachability;
    post(milliseconds(2), one.record.name,
         [this, server = effect.server, seen = reachable ? result::reachable : result::unreachable](
             entry_engine& engine, effects&) { engine.server_probed(server, seen, now()); });
}

// All entry instances keep links to each other at this size.
void engine_world::carry_out(process&, engine::set_peer_targets&) {}

void engine_world::carry_out(process& one, engine::publish_revision& effect) {
    one.published = effect.revision;
    record(test_support::revision_seen{one.record.name, one.record.incarnation, effect.revision});
    const bool drains = m_document.find("draining") != std::string::npos;
    mark(drains ? step::drain : step::policy_apply, one.record.name);
}

void engine_world::carry_out(process& one, engine::set_store_watch& effect) {
    one.watch = effect.state;
    policy_to_watcher(one.record.name);
    list_to_watcher(one.record.name);
}

} // namespace carawayway::engine_test
