// Manages the links of one entry instance: listens for peers, connects to a changing set of peers, and keeps
// one link per peer.
#pragma once

#include "carawayway/base/error_kind.hpp"
#include "carawayway/config/instance_settings.hpp"
#include "carawayway/peer/peer_types.hpp"
#include "carawayway/wire/messages.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace carawayway::peer {

struct network_settings {
    wire::hello local; // the nonce is set per link; the listener binds to peer_address
    std::vector<std::byte> deployment_key;
    link_limits limits;
    base::duration retry_minimum = std::chrono::milliseconds(50); // between attempts to connect to a peer
    base::duration retry_maximum = std::chrono::milliseconds(1000);
    double retry_jitter = 0.25;              // random part of the delay, as a fraction
    std::uint64_t seed = 0;                  // of the random numbers for the jitter
    std::size_t transient_link_limit = 1024; // connections that are authenticating or closing
};

// A peer to keep a link to.
struct peer_target {
    std::string name;
    config::socket_address address;

    bool operator==(const peer_target&) const = default;
};

// Called on the executor's thread. When both sides connect at the same time and so open two links, no event
// reports the second link or the closing of the surplus one.
struct network_events {
    std::function<void(const std::string& name, const wire::hello& remote)> link_up;
    std::function<void(const std::string& name, const link_loss& loss)> link_down;
    std::function<void(const std::string& name, wire::received_message&& message)> message;
    std::function<void(const std::string& name, connect_failure failure)> connect_failed;
};

// Not thread-safe: all calls are on the executor's thread.
class peer_network {
public:
    peer_network(boost::asio::any_io_executor executor, network_settings settings, network_events events);
    ~peer_network();
    peer_network(const peer_network&) = delete;
    peer_network& operator=(const peer_network&) = delete;
    peer_network(peer_network&&) = delete;
    peer_network& operator=(peer_network&&) = delete;

    // Binds the peer address and listens. False, with the reason in `last_failure`, if that fails. The
    // listener stays open until `stop()`, because peers take a refused connection as proof that this process
    // is gone.
    bool listen(base::failure& last_failure);

    // The address that the listener is bound to, with the port that the system chose if 0 was configured.
    config::socket_address listening_address() const;

    // Replaces the set of peers to connect to. Links that other peers opened stay open.
    void set_peers(const std::vector<peer_target>& peers);

    send_result send(std::string_view name, const wire::peer_message& message);
    std::vector<std::string> linked_peers() const;
    bool linked(std::string_view name) const;

    // Sets the policy revision in the envelope of all further messages.
    void set_policy_revision(std::int64_t revision);

    // Closes the link to this peer without sending what is queued.
    void close(std::string_view name, std::string detail);

    // Closes all links and the listener. No event is reported after this call.
    void stop();

    const traffic_counters& traffic() const;

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace carawayway::peer
