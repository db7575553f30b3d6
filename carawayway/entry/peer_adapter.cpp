// Converts link events to messages for the steering thread, and the engine's effects to calls to the network.
#include "carawayway/entry/peer_adapter.hpp"

#include <utility>
#include <variant>

namespace carawayway::entry {

namespace {

constexpr auto flush_interval = std::chrono::milliseconds(5);
constexpr auto traffic_report_interval = std::chrono::seconds(1);
// With more waiting messages the steering thread cannot respond in time. Closing the link makes the peer use
// other entry instances.
constexpr std::size_t maximum_waiting_messages = 20000;

membership::contact_failure to_contact_failure(peer::connect_failure failure) {
    switch (failure) {
    case peer::connect_failure::refused:
        return membership::contact_failure::refused;
    case peer::connect_failure::handshake_timed_out:
        return membership::contact_failure::handshake_timed_out;
    case peer::connect_failure::timed_out:
        break;
    }
    return membership::contact_failure::timed_out;
}

} // namespace

peer_adapter::peer_adapter(event_loop_thread& thread, peer::network_settings settings, address_map configured,
                           inbox<peer_event>& events)
    : m_events(events), m_configured_addresses(std::move(configured)),
      m_network(thread.context().get_executor(), std::move(settings), make_network_events()),
      m_flush_timer(thread.context()) {}

peer::network_events peer_adapter::make_network_events() {
    peer::network_events events;
    events.link_up = [this](const std::string& name, const wire::hello& remote) {
        m_events.send(peer_link_up{name, remote});
    };
    events.link_down = [this](const std::string& name, const peer::link_loss& loss) {
        handle_link_loss(name, loss);
    };
    events.message = [this](const std::string& name, wire::received_message&& message) {
        handle_message(name, std::move(message));
    };
    events.connect_failed = [this](const std::string& name, peer::connect_failure failure) {
        report_connect_failure(name, failure);
    };
    return events;
}

// A refused connection proves that the peer process is gone only at the address that the process itself
// listens on. At any other address it is reported as a timeout.
void peer_adapter::report_connect_failure(const std::string& peer, peer::connect_failure failure) {
    const bool is_inconclusive =
        failure == peer::connect_failure::refused && m_overridden_peers.contains(peer);
    m_events.send(peer_connect_failed{peer, is_inconclusive ? membership::contact_failure::timed_out
                                                            : to_contact_failure(failure)});
}

void peer_adapter::start() {
    schedule_flush();
}

void peer_adapter::schedule_flush() {
    m_flush_timer.expires_after(flush_interval);
    m_flush_timer.async_wait([this](const boost::system::error_code& error) {
        if (!error) {
            m_events.flush();
            report_traffic();
            schedule_flush();
        }
    });
}

void peer_adapter::report_traffic() {
    const auto now = base::monotonic_now();
    if (now >= m_next_report) {
        m_next_report = now + traffic_report_interval;
        m_events.send(peer_traffic{m_network.traffic()});
    }
}

void peer_adapter::handle(peer_command command) {
    std::visit([this](auto& specific) { carry_out(specific); }, command);
}

void peer_adapter::carry_out(engine::send_to_peer& command) {
    const auto result = m_network.send(command.entry, command.message);
    if (!command.call) {
        return;
    }
    if (result.status == peer::send_status::sent) {
        m_calls.record_sent(command.entry, *command.call, result);
        return;
    }
    m_events.send(peer_call_lost{command.entry, *command.call, engine::loss_evidence::never_sent});
}

void peer_adapter::carry_out(engine::broadcast_to_peers& command) {
    for (const auto& peer : m_network.linked_peers()) {
        m_network.send(peer, command.message);
    }
}

void peer_adapter::carry_out(engine::set_peer_targets& command) {
    std::vector<peer::peer_target> targets;
    m_overridden_peers.clear();
    for (const auto& record : command.peers) {
        const auto configured = m_configured_addresses.find(record.name);
        const bool is_configured = configured != m_configured_addresses.end();
        targets.push_back({record.name, is_configured ? configured->second : record.peer_address});
        if (is_configured && configured->second != record.peer_address) {
            m_overridden_peers.insert(record.name);
        }
    }
    m_network.set_peers(targets);
}

void peer_adapter::carry_out(engine::publish_revision& command) {
    m_network.set_policy_revision(command.revision);
}

void peer_adapter::handle_message(const std::string& peer, wire::received_message&& message) {
    if (const auto* result = std::get_if<wire::request_result>(&message.message)) {
        m_calls.record_result(result->call);
    }
    if (m_events.waiting_count() > maximum_waiting_messages) {
        m_network.close(peer, "the steering thread is overloaded");
        return;
    }
    m_events.send(peer_message_received{peer, std::move(message)});
}

void peer_adapter::handle_link_loss(const std::string& peer, const peer::link_loss& loss) {
    m_events.send(peer_link_down{peer});
    for (const auto& lost : m_calls.take_lost(peer, loss)) {
        m_events.send(peer_call_lost{peer, lost.call, lost.evidence});
    }
}

} // namespace carawayway::entry
