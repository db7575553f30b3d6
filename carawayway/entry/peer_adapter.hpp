// Connects the network of peer links to the steering thread. Runs on the peer thread.
#pragma once

#include "carawayway/entry/outbox.hpp"
#include "carawayway/entry/peer_call_table.hpp"
#include "carawayway/entry/peer_event.hpp"
#include "carawayway/peer/peer_network.hpp"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <set>
#include <string>

namespace carawayway::entry {

class peer_adapter {
public:
    using address_map = std::map<std::string, config::socket_address, std::less<>>;

    // Peers in `configured` are connected to at that address, whatever address they advertise: the route from
    // here may differ from the one that other instances use.
    peer_adapter(duty& owner, peer::network_settings settings, address_map configured,
                 inbox<peer_event>& events);

    // Binds the peer address; false with a reason when that fails. To be called before the duty starts.
    bool listen(base::failure& last_failure) { return m_network.listen(last_failure); }
    config::socket_address listening_address() const { return m_network.listening_address(); }

    void start();
    void handle(peer_command command);
    void stop() { m_network.stop(); }

private:
    void carry_out(engine::send_to_peer& command);
    void carry_out(engine::broadcast_to_peers& command);
    void carry_out(engine::set_peer_targets& command);
    void carry_out(engine::publish_revision& command);
    void message_arrived(const std::string& peer, wire::received_message&& message);
    void link_lost(const std::string& peer, const peer::link_loss& loss);
    void flush_later();
    void report_traffic();
    peer::network_events make_events();

    void report_evidence(const std::string& peer, peer::connect_failure evidence);

    outbox<peer_event> m_events;
    address_map m_configured;
    std::set<std::string, std::less<>> m_rerouted; // peers whose configured address is not the advertised one
    peer_call_table m_calls;
    peer::peer_network m_network;
    boost::asio::steady_timer m_flush_timer;
    base::time_point m_next_report;
};

} // namespace carawayway::entry
