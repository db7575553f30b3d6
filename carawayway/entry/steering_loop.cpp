// Converts events to calls to the engine, and the engine's effects to messages for other threads.
#include "carawayway/entry/steering_loop.hpp"

#include "carawayway/base/log.hpp"

#include <utility>
#include <variant>

namespace carawayway::entry {

namespace {

constexpr auto tick_interval = std::chrono::milliseconds(5);

} // namespace

steering_loop::steering_loop(event_loop_thread& thread, engine::entry_engine& engine,
                             metrics::metric_registry& metrics, steering_outputs outputs)
    : m_engine(engine), m_metrics(metrics), m_caller_outbox(outputs.callers),
      m_backend_outbox(outputs.backends), m_control_outbox(outputs.control), m_peer_inbox(outputs.peers),
      m_peer_outbox(outputs.peers), m_timer(thread.context()) {
    m_metrics.declare("carawayway_peer_bytes_total", metrics::metric_type::counter,
                      "Bytes on peer links by kind of message and direction.");
    m_metrics.declare("carawayway_peer_messages_total", metrics::metric_type::counter,
                      "Messages on peer links by kind of message and direction.");
}

void steering_loop::start() {
    m_timer.expires_after(std::chrono::nanoseconds(0));
    schedule_tick();
}

void steering_loop::schedule_tick() {
    m_timer.async_wait([this](const boost::system::error_code& error) {
        if (error) {
            return;
        }
        tick();
        m_timer.expires_after(tick_interval);
        schedule_tick();
    });
}

void steering_loop::tick() {
    m_now = base::monotonic_now();
    m_engine.tick(m_now, m_effects);
    carry_out_all();
    m_caller_outbox.flush();
    m_backend_outbox.flush();
    m_control_outbox.flush();
    m_peer_outbox.flush();
    if (m_engine.state() == engine::run_state::stopped && m_stop_report == stop_report::pending) {
        m_stop_report = stop_report::sent;
        m_control_outbox.send(entry_stopped{});
    }
}

template <class Event>
void steering_loop::process(Event& event) {
    m_now = base::monotonic_now();
    std::visit([this](auto& specific) { this->on(specific); }, event);
    carry_out_all();
}

// Carrying out an effect can add new ones: a message that cannot be sent is reported to the engine at once.
void steering_loop::carry_out_all() {
    while (!m_effects.empty()) {
        auto batch = std::exchange(m_effects, {});
        for (auto& effect : batch) {
            std::visit([this](auto& specific) { this->carry_out(specific); }, effect);
        }
    }
}

void steering_loop::handle(caller_event event) {
    process(event);
}

void steering_loop::handle(backend_event event) {
    process(event);
}

void steering_loop::handle(peer_event event) {
    process(event);
}

void steering_loop::handle(control_event event) {
    process(event);
}

void steering_loop::on(request_received& event) {
    m_engine.caller_request(event.token, std::move(event.request), m_now, m_effects);
}

void steering_loop::on(lookup_received& event) {
    m_caller_outbox.send({event.token, m_engine.lookup(event.service, event.client_address, m_now)});
}

void steering_loop::on(caller_left& event) {
    m_engine.caller_left(event.token, m_now, m_effects);
}

void steering_loop::on(readiness_requested& event) {
    const auto reason = m_engine.not_ready_reason();
    m_caller_outbox.send({event.token, reason ? readiness{readiness::state::not_ready, *reason}
                                              : readiness{readiness::state::ready, ""}});
}

void steering_loop::on(attempt_finished& event) {
    m_engine.attempt_finished(event.attempt, std::move(event.result), m_now, m_effects);
}

void steering_loop::on(server_probed& event) {
    const auto result = event.result == server_probed::reachability::reachable
                            ? engine::entry_engine::reachability::reachable
                            : engine::entry_engine::reachability::unreachable;
    m_engine.server_probed(event.server, result, m_now);
}

void steering_loop::on(peer_link_up& event) {
    m_engine.link_up(event.peer, event.remote, m_now, m_effects);
}

void steering_loop::on(peer_link_down& event) {
    m_engine.link_down(event.peer, m_now, m_effects);
}

void steering_loop::on(peer_message_received& event) {
    m_engine.peer_message(event.peer, std::move(event.message), m_now, m_effects);
}

void steering_loop::on(peer_connect_failed& event) {
    m_engine.connect_failed(event.peer, event.failure, m_now, m_effects);
}

void steering_loop::on(peer_call_lost& event) {
    m_engine.peer_call_lost(event.peer, event.call, event.evidence, m_now, m_effects);
}

void steering_loop::on(const peer_traffic& event) {
    for (std::size_t kind = 0; kind < wire::message_kind_count; ++kind) {
        const std::string name(wire::message_kind_name(kind));
        const auto set = [&](std::string_view direction, const peer::message_traffic& traffic) {
            const metrics::label_set labels{{"kind", name}, {"direction", std::string(direction)}};
            m_metrics.set("carawayway_peer_bytes_total", labels, static_cast<double>(traffic.bytes));
            m_metrics.set("carawayway_peer_messages_total", labels, static_cast<double>(traffic.messages));
        };
        set("sent", event.counters.sent.at(kind));
        set("received", event.counters.received.at(kind));
    }
}

void steering_loop::on(policy_received& event) {
    m_engine.policy_read(event.revision, std::move(event.document), m_now, m_effects);
}

void steering_loop::on(instances_received& event) {
    m_engine.instances_read(event.instances, m_now, m_effects);
}

void steering_loop::on(status_requested& event) {
    m_control_outbox.send(status_ready{event.token, m_engine.status(m_now)});
}

void steering_loop::on(metrics_requested& event) {
    m_engine.update_gauges(m_now);
    m_control_outbox.send(metrics_ready{event.token, m_metrics.to_prometheus()});
}

void steering_loop::on(explain_requested& event) {
    m_control_outbox.send(
        explain_ready{event.token, m_engine.explain(event.service, event.client_address, m_now)});
}

void steering_loop::on(stop_requested&) {
    m_engine.begin_stop(m_now, m_effects);
}

void steering_loop::carry_out(engine::respond_to_caller& effect) {
    m_caller_outbox.send({effect.token, std::move(effect.response)});
}

void steering_loop::carry_out(engine::start_attempt& effect) {
    m_backend_outbox.send(std::move(effect));
}

void steering_loop::carry_out(engine::cancel_attempt& effect) {
    m_backend_outbox.send(effect);
}

void steering_loop::carry_out(engine::probe_server& effect) {
    m_backend_outbox.send(std::move(effect));
}

void steering_loop::carry_out(engine::send_to_peer& effect) {
    const std::string entry = effect.entry;
    const auto call = effect.call;
    peer_command command = std::move(effect);
    if (m_peer_outbox.waiting_count() == 0 && m_peer_inbox.push(command)) {
        return;
    }
    if (call) {
        m_engine.peer_call_lost(entry, *call, engine::loss_evidence::never_sent, m_now, m_effects);
        return;
    }
    // Other messages must not be lost: a peer that misses a result waits until its deadline.
    m_peer_outbox.send(std::move(command));
}

void steering_loop::carry_out(engine::broadcast_to_peers& effect) {
    m_peer_outbox.send(std::move(effect));
}

void steering_loop::carry_out(engine::set_peer_targets& effect) {
    m_peer_outbox.send(std::move(effect));
}

void steering_loop::carry_out(engine::publish_revision& effect) {
    m_peer_outbox.send(effect);
}

void steering_loop::carry_out(engine::set_store_watch& effect) {
    m_control_outbox.send(effect);
}

} // namespace carawayway::entry
