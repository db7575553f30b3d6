// Runs the engine on the steering thread: passes it the events from other threads and carries out its
// effects.
#pragma once

#include "carawayway/engine/entry_engine.hpp"
#include "carawayway/entry/backend_event.hpp"
#include "carawayway/entry/caller_event.hpp"
#include "carawayway/entry/control_event.hpp"
#include "carawayway/entry/outbox.hpp"
#include "carawayway/entry/peer_event.hpp"
#include "carawayway/metrics/metric_registry.hpp"

#include <boost/asio/steady_timer.hpp>

namespace carawayway::entry {

// The inboxes of the other threads, for messages from the steering thread. They outlive it.
struct steering_outputs {
    inbox<caller_reply>& callers;
    inbox<backend_command>& backends;
    inbox<peer_command>& peers;
    inbox<control_reply>& control;
};

class steering_loop {
public:
    // `engine` and `metrics` are used on the steering thread only, from `start` on.
    steering_loop(event_loop_thread& thread, engine::entry_engine& engine, metrics::metric_registry& metrics,
                  steering_outputs outputs);

    void start();

    void handle(caller_event event);
    void handle(backend_event event);
    void handle(peer_event event);
    void handle(control_event event);

private:
    void on(request_received& event);
    void on(lookup_received& event);
    void on(caller_left& event);
    void on(readiness_requested& event);
    void on(attempt_finished& event);
    void on(server_probed& event);
    void on(peer_link_up& event);
    void on(peer_link_down& event);
    void on(peer_message_received& event);
    void on(peer_connect_failed& event);
    void on(peer_call_lost& event);
    void on(const peer_traffic& event);
    void on(policy_received& event);
    void on(instances_received& event);
    void on(status_requested& event);
    void on(metrics_requested& event);
    void on(explain_requested& event);
    void on(stop_requested& event);

    void carry_out(engine::respond_to_caller& effect);
    void carry_out(engine::start_attempt& effect);
    void carry_out(engine::cancel_attempt& effect);
    void carry_out(engine::probe_server& effect);
    void carry_out(engine::send_to_peer& effect);
    void carry_out(engine::broadcast_to_peers& effect);
    void carry_out(engine::set_peer_targets& effect);
    void carry_out(engine::publish_revision& effect);
    void carry_out(engine::set_store_watch& effect);

    template <class Event>
    void process(Event& event);
    void carry_out_all();
    void schedule_tick();
    void tick();

    engine::entry_engine& m_engine;
    metrics::metric_registry& m_metrics;
    outbox<caller_reply> m_caller_outbox;
    outbox<backend_command> m_backend_outbox;
    outbox<control_reply> m_control_outbox;
    inbox<peer_command>& m_peer_inbox;
    outbox<peer_command> m_peer_outbox;
    boost::asio::steady_timer m_timer;
    base::time_point m_now;
    engine::effects m_effects;
    enum class stop_report : std::uint8_t { pending, sent } m_stop_report = stop_report::pending;
};

} // namespace carawayway::entry
