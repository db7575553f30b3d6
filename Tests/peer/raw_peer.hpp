// A test peer on a plain blocking socket, which can violate the protocol of peer links.
#pragma once

#include "carawayway/config/instance_settings.hpp"
#include "carawayway/wire/frame_reader.hpp"
#include "carawayway/wire/link_authenticator.hpp"
#include "carawayway/wire/messages.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace carawayway::peer {

class raw_peer {
public:
    raw_peer(wire::hello local, std::vector<std::byte> key)
        : m_local(std::move(local)), m_authenticator(std::move(key)) {}

    void connect(const config::socket_address& address);
    void send(const wire::peer_message& message); // with the next sequence number
    void send_frame(const std::vector<std::byte>& payload);
    void send_bytes(const std::vector<std::byte>& bytes);
    std::optional<wire::received_message> receive(); // nothing once the other side has closed
    bool handshake();                                // as initiator; false if refused
    void set_sequence(std::uint64_t sequence) { m_sequence = sequence; }
    void set_sender(std::string sender) { m_local.name = std::move(sender); }

    // All bytes that this side sent so far, to replay them.
    const std::vector<std::byte>& sent() const { return m_sent; }

private:
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::socket m_socket{m_context};
    wire::hello m_local;
    wire::link_authenticator m_authenticator;
    wire::frame_reader m_reader;
    std::vector<std::byte> m_sent;
    std::uint64_t m_sequence = 0;
};

} // namespace carawayway::peer
