// Carries out the effects of the simulated engines: attempts at servers, messages, responses and watches.
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
constexpr int thread_delay_limit = 500; // microseconds, between two threads of an entry instance

} // namespace

void engine_world::carry_out(process& instance, engine::respond_to_caller& effect) {
    const auto found = instance.callers.find(effect.token);
    if (found == instance.callers.end()) {
        m_direct_violations.push_back(instance.record.name + " answered a caller twice");
        return;
    }
    m_events.after(client_delay,
                   [handler = found->second, response = effect.response] { handler(response); });
    instance.callers.erase(found);
}

// Counts each time a request is sent to another region, since that uses allowance. The receiver does not
// count it again.
void engine_world::record_move(const std::string& id, const std::string& service, const std::string& region,
                               const std::string& entry) {
    const auto& home = m_homes[id];
    if (!home.empty() && home != region && !m_sent_for_execution.contains({entry, id})) {
        record(test_support::request_moved{service + " at " + entry, home, region});
        m_moves.push_back({now(), service, home});
        report_step(step::shift, entry);
    }
}

void engine_world::carry_out(process& instance, engine::start_attempt& effect) {
    const std::string name = instance.record.name;
    report_step(step::dispatch, name, effect.server);
    record_move(effect.request_id, effect.request->service, m_servers.region(effect.server), name);
    auto& user = m_last_user[effect.server];
    if (!user.empty() && user != name) {
        report_step(step::takeover, name, effect.server);
    }
    user = name;
    instance.attempts[effect.attempt] = {0, ++m_last_number};
    post(std::chrono::microseconds(choose(thread_delay_limit)), name,
         [this, name, attempt = effect](entry_engine&, effects&) {
             connect_attempt(m_processes.at(name), attempt);
         });
}

// A cut between failure domains also separates the entry instances from the servers of the other domain.
bool engine_world::server_reachable(const std::string& entry, const std::string& server) const {
    const auto* known = m_policy.find_server(server);
    return std::none_of(entry_names.begin(), entry_names.end(), [&](const std::string& other) {
        return domain_of_entry(other) == known->failure_domain && blocked(entry, other);
    });
}

void engine_world::connect_attempt(process& instance, const engine::start_attempt& attempt) {
    const std::string name = instance.record.name;
    const auto found = instance.attempts.find(attempt.attempt);
    if (found == instance.attempts.end()) {
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

// An entry instance may still use a server shortly after releasing it, but not once another entry instance
// owns it.
void engine_world::check_single_owner(const std::string& sender, const std::string& server) {
    for (const auto& [name, instance] : m_processes) {
        if (name != sender && instance.state != process_state::dead &&
            instance.engine->ownership().owns(server, now())) {
            m_direct_violations.push_back(
                fmt::format("{} used {}, which {} owns, at {} ms", sender, server, name, elapsed(now())));
        }
    }
}

// The first result counts. For a paused process, timers and results are delivered when it resumes.
void engine_world::end_attempt(const std::string& entry, std::uint64_t serial, std::uint64_t attempt,
                               engine::server_result result) {
    auto& instance = m_processes.at(entry);
    const auto current = instance.attempts.find(attempt);
    if (current == instance.attempts.end() || current->second.serial != serial) {
        return;
    }
    deliver(instance,
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

void engine_world::carry_out(process& instance, engine::cancel_attempt& effect) {
    const auto found = instance.attempts.find(effect.attempt);
    if (found != instance.attempts.end()) {
        // The thread of the backend client closes the connection and reports the result.
        post(std::chrono::microseconds(choose(thread_delay_limit)), instance.record.name,
             [this, name = instance.record.name, serial = found->second.serial,
              attempt = effect.attempt](entry_engine&, effects&) {
                 end_attempt(name, serial, attempt, failed_attempt(attempt_outcome::cancelled));
             });
    }
}

void engine_world::carry_out(process& instance, engine::send_to_peer& effect) {
    if (effect.call) {
        report_step(step::passing_to_peer, instance.record.name);
    }
    if (const auto* execute = std::get_if<wire::execute_request>(&effect.message)) {
        record_move(execute->request.request_id, execute->request.service,
                    region_of_domain(domain_of_entry(effect.entry)), instance.record.name);
        m_sent_for_execution.insert({effect.entry, execute->request.request_id});
    }
    if (std::holds_alternative<wire::policy_document>(effect.message)) {
        report_step(step::policy_spread, instance.record.name);
    }
    send(instance, effect.entry, effect.message, effect.call);
}

void engine_world::carry_out(process& instance, engine::broadcast_to_peers& effect) {
    for (const auto& peer : entry_names) {
        if (peer != instance.record.name && link_of(instance.record.name, peer).up) {
            send(instance, peer, effect.message, std::nullopt);
        }
    }
}

void engine_world::carry_out(process& instance, engine::probe_server& effect) {
    const bool reachable =
        m_servers.up(effect.server) && server_reachable(instance.record.name, effect.server);
    using result = entry_engine::reachability;
    post(milliseconds(2), instance.record.name,
         [this, server = effect.server, seen = reachable ? result::reachable : result::unreachable](
             entry_engine& engine, effects&) { engine.server_probed(server, seen, now()); });
}

// A deployment of this size keeps links between all entry instances.
void engine_world::carry_out(process&, engine::set_peer_targets&) {}

void engine_world::carry_out(process& instance, engine::publish_revision& effect) {
    instance.published_revision = effect.revision;
    record(test_support::revision_seen{instance.record.name, instance.record.incarnation, effect.revision});
    const bool drains = m_document.find("draining") != std::string::npos;
    report_step(drains ? step::drain : step::policy_apply, instance.record.name);
}

void engine_world::carry_out(process& instance, engine::set_store_watch& effect) {
    instance.watch = effect.state;
    send_policy_to_watcher(instance.record.name);
    send_instance_list_to_watcher(instance.record.name);
}

} // namespace carawayway::engine_test
