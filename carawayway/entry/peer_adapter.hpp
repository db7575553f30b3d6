// Passes messages and link events between the peer network and the steering thread. Runs on the peer thread.
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

    // Connects to a peer in `configured` at the address given there, even if the peer advertises another one:
    // the route from this instance may differ from the one that other instances use.
    peer_adapter(event_loop_thread& thread, peer::network_settings settings, address_map configured,
                 inbox<peer_event>& events);

    // Binds the peer address; returns false and sets `last_failure` when that fails. Must be called before
    // the thread starts.
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
    void handle_message(const std::string& peer, wire::received_message&& message);
    void handle_link_loss(const std::string& peer, const peer::link_loss& loss);
    void schedule_flush();
    void report_traffic();
    peer::network_events make_network_events();

    void report_connect_failure(const std::string& peer, peer::connect_failure failure);

    outbox<peer_event> m_events;
    address_map m_configured_addresses;
    // Peers whose configured address differs from the advertised one.
    std::set<std::string, std::less<>> m_overridden_peers;
    peer_call_table m_calls;
    peer::peer_network m_network;
    boost::asio::steady_timer m_flush_timer;
    base::time_point m_next_report;
};

} // namespace carawayway::entry
