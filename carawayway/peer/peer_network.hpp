// All links of one entry instance: the listener, the outgoing connections to a changing set of peers, and the
// choice of one link per pair.
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
    wire::hello local; // the nonce is chosen per link; peer_address is what the listener binds
    std::vector<std::byte> deployment_key;
    link_limits limits;
    base::duration retry_minimum = std::chrono::milliseconds(50); // between attempts to connect to a peer
    base::duration retry_maximum = std::chrono::milliseconds(1000);
    double retry_jitter = 0.25;        // share of the delay that is random
    std::uint64_t seed = 0;            // of the jitter
    std::size_t accepted_limit = 1024; // inbound connections that have not authenticated yet
};

// A peer to keep a link to.
struct peer_target {
    std::string name;
    config::socket_address address;

    bool operator==(const peer_target&) const = default;
};

// Called on the executor's thread. A link that replaces another one to the same incarnation of a peer is not
// reported; neither is the replaced link.
struct network_events {
    std::function<void(const std::string& name, const wire::hello& remote)> link_up;
    std::function<void(const std::string& name, const link_loss& loss)> link_down;
    std::function<void(const std::string& name, wire::received_message&& message)> message;
    std::function<void(const std::string& name, connect_failure evidence)> connect_failed;
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

    // Binds the peer address; false with a reason when that fails. The listener stays open until `stop()`: a
    // refused connection is certain evidence of death for the peers.
    bool listen(base::failure& last_failure);

    // The address that the listener is bound to, with the port chosen by the system when it was 0.
    config::socket_address listening_address() const;

    // Replaces the set of peers to connect to. Links to other peers stay open while those use them.
    void set_peers(const std::vector<peer_target>& peers);

    send_result send(std::string_view name, const wire::peer_message& message);
    std::vector<std::string> linked_peers() const;
    bool linked(std::string_view name) const;

    // Goes into the envelope of each message from now on.
    void set_policy_revision(std::int64_t revision);

    // Closes the link to this peer at once.
    void close(std::string_view name, std::string detail);

    // Closes all links and the listener; no event follows.
    void stop();

    const traffic_counters& traffic() const;

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace carawayway::peer
