// Translation of link events and of the engine's effects.
#include "carawayway/entry/peer_adapter.hpp"

#include <utility>
#include <variant>

namespace carawayway::entry {

namespace {

constexpr auto flush_interval = std::chrono::milliseconds(5);
constexpr auto traffic_report_interval = std::chrono::seconds(1);
// A steering thread that is this far behind cannot answer in time; its peers then go elsewhere.
constexpr std::size_t backlog_limit = 20000; // messages

membership::contact_failure to_evidence(peer::connect_failure evidence) {
    switch (evidence) {
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

peer_adapter::peer_adapter(duty& owner, peer::network_settings settings, address_map configured,
                           inbox<peer_event>& events)
    : m_events(events), m_configured(std::move(configured)),
      m_network(owner.context().get_executor(), std::move(settings), make_events()),
      m_flush_timer(owner.context()) {}

peer::network_events peer_adapter::make_events() {
    peer::network_events events;
    events.link_up = [this](const std::string& name, const wire::hello& remote) {
        m_events.send(peer_linked{name, remote});
    };
    events.link_down = [this](const std::string& name, const peer::link_loss& loss) {
        link_lost(name, loss);
    };
    events.message = [this](const std::string& name, wire::received_message&& message) {
        message_arrived(name, std::move(message));
    };
    events.connect_failed = [this](const std::string& name, peer::connect_failure evidence) {
        report_evidence(name, evidence);
    };
    return events;
}

// A refusal proves the death of a process only at the address that this process itself listens on.
void peer_adapter::report_evidence(const std::string& peer, peer::connect_failure evidence) {
    const bool unproven = evidence == peer::connect_failure::refused && m_rerouted.contains(peer);
    m_events.send(
        peer_not_reached{peer, unproven ? membership::contact_failure::timed_out : to_evidence(evidence)});
}

void peer_adapter::start() {
    flush_later();
}

void peer_adapter::flush_later() {
    m_flush_timer.expires_after(flush_interval);
    m_flush_timer.async_wait([this](const boost::system::error_code& error) {
        if (!error) {
            m_events.flush();
            report_traffic();
            flush_later();
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
        m_calls.sent(command.entry, *command.call, result);
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
    m_rerouted.clear();
    for (const auto& record : command.peers) {
        const auto configured = m_configured.find(record.name);
        const bool own_route = configured != m_configured.end();
        targets.push_back({record.name, own_route ? configured->second : record.peer_address});
        if (own_route && configured->second != record.peer_address) {
            m_rerouted.insert(record.name);
        }
    }
    m_network.set_peers(targets);
}

void peer_adapter::carry_out(engine::publish_revision& command) {
    m_network.set_policy_revision(command.revision);
}

void peer_adapter::message_arrived(const std::string& peer, wire::received_message&& message) {
    if (const auto* result = std::get_if<wire::request_result>(&message.message)) {
        m_calls.answered(result->call);
    }
    if (m_events.waiting() > backlog_limit) {
        m_network.close(peer, "the steering thread is saturated");
        return;
    }
    m_events.send(peer_spoke{peer, std::move(message)});
}

void peer_adapter::link_lost(const std::string& peer, const peer::link_loss& loss) {
    m_events.send(peer_unlinked{peer});
    for (const auto& lost : m_calls.link_lost(peer, loss)) {
        m_events.send(peer_call_lost{peer, lost.call, lost.evidence});
    }
}

} // namespace carawayway::entry
