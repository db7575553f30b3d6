// Blocking reads and writes, to be called from a thread of the test.
#include "Tests/peer/raw_peer.hpp"

#include "carawayway/wire/message_codec.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace carawayway::peer {

namespace asio = boost::asio;

void raw_peer::connect(const config::socket_address& address) {
    m_socket.connect({asio::ip::make_address(address.host), address.port});
}

void raw_peer::send(const wire::peer_message& message) {
    ++m_sequence;
    send_frame(wire::encode({m_local.name, m_local.incarnation, 0, m_sequence}, message));
}

void raw_peer::send_frame(const std::vector<std::byte>& payload) {
    const auto prefix = wire::frame_prefix(static_cast<std::uint32_t>(payload.size()));
    std::vector<std::byte> bytes(prefix.begin(), prefix.end());
    bytes.insert(bytes.end(), payload.begin(), payload.end());
    send_bytes(bytes);
}

void raw_peer::send_bytes(const std::vector<std::byte>& bytes) {
    boost::system::error_code ignored; // the other side may have closed already
    asio::write(m_socket, asio::buffer(bytes), ignored);
    m_sent.insert(m_sent.end(), bytes.begin(), bytes.end());
}

std::optional<wire::received_message> raw_peer::receive() {
    base::failure failure;
    for (;;) {
        if (const auto payload = m_reader.next(failure)) {
            return wire::decode(*payload, failure);
        }
        std::array<std::byte, 4096> buffer{};
        boost::system::error_code error;
        const std::size_t size = m_socket.read_some(asio::buffer(buffer), error);
        if (error) {
            return std::nullopt;
        }
        m_reader.append(std::span(buffer).first(size));
    }
}

bool raw_peer::handshake() {
    send(m_local);
    const auto answer = receive();
    if (!answer.has_value() || !std::holds_alternative<wire::hello>(answer->message)) {
        return false;
    }
    const auto& remote = std::get<wire::hello>(answer->message);
    send(wire::hello_proof{m_authenticator.prove(wire::link_side::initiator, m_local, remote)});
    const auto proof = receive();
    return proof.has_value() && std::holds_alternative<wire::hello_proof>(proof->message);
}

} // namespace carawayway::peer
