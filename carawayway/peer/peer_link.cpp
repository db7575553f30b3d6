// Handshake, reading and writing of a peer link. The initiator sends its proof first, so that the acceptor
// proves knowledge of the key only to a peer that has proven it. Each co_await is a statement of its own,
// because g++ 12 destroys the temporaries of conditional expressions that contain a co_await too early.
#include "carawayway/peer/peer_link.hpp"

#include "carawayway/wire/message_codec.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace carawayway::peer {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr std::size_t read_buffer_bytes = std::size_t{16} << 10U;
constexpr std::size_t batch_bytes = std::size_t{256} << 10U; // handed to the socket in one write
constexpr std::size_t batch_messages = 64; // the system limits the number of buffers per write

auto with_error(error_code& error) {
    return asio::redirect_error(asio::use_awaitable, error);
}

bool is_ip_address(const std::string& host) {
    error_code error;
    asio::ip::make_address(host, error);
    return !error;
}

} // namespace

std::string_view to_string(close_reason reason) {
    switch (reason) {
    case close_reason::connect_refused:
        return "connect-refused";
    case close_reason::connect_timed_out:
        return "connect-timed-out";
    case close_reason::connect_failed:
        return "connect-failed";
    case close_reason::handshake_silent:
        return "handshake-silent";
    case close_reason::handshake_refused:
        return "handshake-refused";
    case close_reason::malformed:
        return "malformed";
    case close_reason::idle:
        return "idle";
    case close_reason::closed_by_peer:
        return "closed-by-peer";
    case close_reason::lost:
        return "lost";
    case close_reason::superseded:
        return "superseded";
    case close_reason::closed_locally:
        break;
    }
    return "closed-locally";
}

peer_link::peer_link(socket connection, std::shared_ptr<link_context> context, wire::link_side side,
                     std::string expected_name, callbacks handlers)
    : m_context(std::move(context)), m_socket(std::move(connection)), m_timer(m_socket.get_executor()),
      m_side(side), m_expected_name(std::move(expected_name)), m_handlers(std::move(handlers)),
      m_identifier(m_context->next_link++), m_local(m_context->local),
      m_reader(m_context->limits.frame_bytes), m_read_buffer(read_buffer_bytes) {
    m_local.nonce = wire::link_authenticator::make_nonce();
}

std::shared_ptr<peer_link> peer_link::connect(const asio::any_io_executor& executor,
                                              std::shared_ptr<link_context> context, const endpoint& address,
                                              std::string expected_name, callbacks handlers) {
    std::shared_ptr<peer_link> link(new peer_link(socket(executor), std::move(context),
                                                  wire::link_side::initiator, std::move(expected_name),
                                                  std::move(handlers)));
    link->start(address);
    return link;
}

std::shared_ptr<peer_link> peer_link::accept(socket connection, std::shared_ptr<link_context> context,
                                             callbacks handlers) {
    std::shared_ptr<peer_link> link(new peer_link(std::move(connection), std::move(context),
                                                  wire::link_side::acceptor, {}, std::move(handlers)));
    link->start(std::nullopt);
    return link;
}

void peer_link::start(const std::optional<endpoint>& address) {
    asio::co_spawn(
        m_socket.get_executor(),
        [self = shared_from_this(), address]() -> asio::awaitable<void> { co_await self->run(address); },
        asio::detached);
}

asio::awaitable<void> peer_link::run(std::optional<endpoint> address) {
    if (address.has_value()) {
        co_await connect_socket(*address);
    }
    if (m_state != link_state::connecting) {
        co_return;
    }
    m_state = link_state::authenticating;
    error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    set_deadline(m_context->limits.handshake_timeout, close_reason::handshake_silent,
                 "the peer did not complete the handshake in time");
    const bool valid = co_await authenticate();
    if (!valid || m_state != link_state::authenticating) {
        co_return;
    }
    m_state = link_state::established;
    m_established_at = base::monotonic_now();
    m_received_since_deadline_check = true;
    set_deadline(m_context->limits.idle_timeout, close_reason::idle,
                 "nothing received within the idle timeout");
    m_handlers.established(shared_from_this());
    co_await read_messages();
}

asio::awaitable<void> peer_link::connect_socket(endpoint address) {
    set_deadline(m_context->limits.connect_timeout, close_reason::connect_timed_out,
                 "no answer within the connect timeout");
    error_code error;
    co_await m_socket.async_connect(address, with_error(error));
    if (m_state == link_state::closed) {
        co_return;
    }
    if (error == asio::error::connection_refused) {
        close(close_reason::connect_refused, error.message());
    } else if (error == asio::error::timed_out) {
        close(close_reason::connect_timed_out, error.message());
    } else if (error) {
        close(close_reason::connect_failed, error.message());
    }
}

asio::awaitable<bool> peer_link::authenticate() {
    bool valid = co_await exchange_hellos();
    if (valid && m_side == wire::link_side::initiator) {
        valid = co_await send_proof();
    }
    if (valid) {
        valid = co_await verify_proof();
    }
    if (valid && m_side == wire::link_side::acceptor) {
        valid = co_await send_proof();
    }
    co_return valid;
}

asio::awaitable<bool> peer_link::exchange_hellos() {
    const wire::peer_message local_hello = m_local;
    if (m_side == wire::link_side::initiator) {
        const bool written = co_await write_handshake_message(local_hello);
        if (!written) {
            co_return false;
        }
    }
    auto received = co_await read_message();
    if (!received.has_value()) {
        co_return false;
    }
    const auto* remote = std::get_if<wire::hello>(&received->message);
    std::string refusal = "the first message is not a hello";
    if (remote == nullptr || !is_acceptable_hello(*remote, refusal)) {
        close(close_reason::handshake_refused, refusal);
        co_return false;
    }
    m_remote = *remote;
    if (received->envelope.sender != m_remote.name ||
        received->envelope.incarnation != m_remote.incarnation) {
        close(close_reason::handshake_refused,
              "sender or incarnation of the envelope differs from the hello");
        co_return false;
    }
    bool written = true;
    if (m_side == wire::link_side::acceptor) {
        written = co_await write_handshake_message(local_hello);
    }
    co_return written;
}

asio::awaitable<bool> peer_link::send_proof() {
    const bool initiator = m_side == wire::link_side::initiator;
    const wire::peer_message proof = wire::hello_proof{m_context->authenticator.prove(
        m_side, initiator ? m_local : m_remote, initiator ? m_remote : m_local)};
    const bool written = co_await write_handshake_message(proof);
    co_return written;
}

asio::awaitable<bool> peer_link::verify_proof() {
    auto received = co_await read_message();
    if (!received.has_value()) {
        co_return false;
    }
    const bool initiator = m_side == wire::link_side::initiator;
    const auto other_side = initiator ? wire::link_side::acceptor : wire::link_side::initiator;
    const auto* proof = std::get_if<wire::hello_proof>(&received->message);
    if (proof == nullptr ||
        !m_context->authenticator.verify(proof->mac, other_side, initiator ? m_local : m_remote,
                                         initiator ? m_remote : m_local)) {
        close(close_reason::handshake_refused, "invalid proof of the deployment key");
        co_return false;
    }
    co_return true;
}

bool peer_link::is_acceptable_hello(const wire::hello& value, std::string& refusal) const {
    if (value.name == m_local.name) {
        refusal = "the peer has the name of this entry instance";
        return false;
    }
    if (!m_expected_name.empty() && value.name != m_expected_name) {
        refusal = fmt::format("the name of the peer is {}, expected {}", value.name, m_expected_name);
        return false;
    }
    if (!is_ip_address(value.peer_address.host) || !is_ip_address(value.caller_address.host)) {
        refusal = "peer_address or caller_address in the hello is not an IP address";
        return false;
    }
    return true;
}

bool peer_link::is_acceptable_envelope(const wire::envelope& value) const {
    if (value.sequence != m_received_sequence + 1) {
        return false;
    }
    // The first message is the hello, which introduces the sender.
    return m_received_sequence == 0 ||
           (value.sender == m_remote.name && value.incarnation == m_remote.incarnation);
}

asio::awaitable<void> peer_link::read_messages() {
    while (m_state == link_state::established) {
        auto received = co_await read_message();
        if (!received.has_value()) {
            co_return;
        }
        if (std::holds_alternative<wire::hello>(received->message) ||
            std::holds_alternative<wire::hello_proof>(received->message)) {
            close(close_reason::malformed, "handshake message on an established link");
            co_return;
        }
        m_handlers.message(shared_from_this(), std::move(*received));
    }
}

// Returns the next message, or nothing once the link is closed.
asio::awaitable<std::optional<wire::received_message>> peer_link::read_message() {
    base::failure failure;
    while (m_state != link_state::closed) {
        const auto payload = m_reader.next(failure);
        if (payload.has_value()) {
            auto received = wire::decode(*payload, failure);
            if (received.has_value() && is_acceptable_envelope(received->envelope)) {
                ++m_received_sequence;
                auto& counter = m_context->traffic.received.at(received->message.index());
                ++counter.messages;
                counter.bytes += payload->size() + wire::frame_prefix_size;
                co_return received;
            }
            close(close_reason::malformed, received.has_value()
                                               ? "unexpected sender, incarnation or sequence in the envelope"
                                               : failure.detail);
            break;
        }
        if (m_reader.failed()) {
            close(close_reason::malformed, failure.detail);
            break;
        }
        error_code error;
        const std::size_t size =
            co_await m_socket.async_read_some(asio::buffer(m_read_buffer), with_error(error));
        if (m_state == link_state::closed) {
            break;
        }
        if (error == asio::error::eof && m_retiring && m_pending_bytes > 0) {
            m_peer_closed_sending = true;
            break;
        }
        if (error) {
            close(error == asio::error::eof ? close_reason::closed_by_peer : close_reason::lost,
                  error.message());
            break;
        }
        m_received_since_deadline_check = true;
        m_reader.append(std::span(m_read_buffer).first(size));
    }
    co_return std::nullopt;
}

// Writes without the send queue, which is not in use during the handshake.
asio::awaitable<bool> peer_link::write_handshake_message(const wire::peer_message& message) {
    const frame bytes = make_frame(message);
    m_handed_sequence = m_sent_sequence;
    error_code error;
    co_await asio::async_write(m_socket, asio::buffer(bytes), with_error(error));
    if (m_state == link_state::closed) {
        co_return false;
    }
    if (error) {
        close(close_reason::lost, error.message());
    }
    co_return !error;
}

// Closes the link when the limit is over. A new deadline replaces the previous one. The idle deadline is
// renewed if bytes were received since it was set.
void peer_link::set_deadline(base::duration limit, close_reason reason, std::string detail) {
    m_timer.expires_after(limit);
    m_timer.async_wait(
        [self = shared_from_this(), limit, reason, text = std::move(detail)](const error_code& error) {
            if (error || self->m_state == link_state::closed) {
                return;
            }
            const bool active = reason == close_reason::idle && self->m_received_since_deadline_check;
            if (!active) {
                self->close(reason, text);
                return;
            }
            self->m_received_since_deadline_check = false;
            self->set_deadline(limit, reason, text);
        });
}

peer_link::frame peer_link::make_frame(const wire::peer_message& message) {
    const wire::envelope envelope{m_local.name, m_local.incarnation, m_context->policy_revision,
                                  m_sent_sequence + 1};
    const std::vector<std::byte> payload = wire::encode(envelope, message);
    if (payload.size() > m_context->limits.frame_bytes) {
        return {};
    }
    ++m_sent_sequence;
    const auto prefix = wire::frame_prefix(static_cast<std::uint32_t>(payload.size()));
    frame bytes;
    bytes.reserve(prefix.size() + payload.size());
    bytes.insert(bytes.end(), prefix.begin(), prefix.end());
    bytes.insert(bytes.end(), payload.begin(), payload.end());
    auto& counter = m_context->traffic.sent.at(message.index());
    ++counter.messages;
    counter.bytes += bytes.size();
    return bytes;
}

send_result peer_link::send(const wire::peer_message& message) {
    if (m_state != link_state::established || m_retiring) {
        return {send_status::no_link, m_identifier, 0};
    }
    if (m_queue.size() + m_batch.size() >= m_context->limits.queue_messages ||
        m_pending_bytes >= m_context->limits.queue_bytes) {
        return {send_status::queue_full, m_identifier, 0};
    }
    frame bytes = make_frame(message);
    if (bytes.empty()) {
        return {send_status::too_large, m_identifier, 0};
    }
    m_pending_bytes += bytes.size();
    m_queue.push_back(std::move(bytes));
    const send_result result{send_status::sent, m_identifier, m_sent_sequence};
    write_next_batch();
    return result;
}

void peer_link::write_next_batch() {
    if (!m_batch.empty() || m_state != link_state::established) {
        return;
    }
    if (m_queue.empty()) {
        shut_down_if_retiring();
        return;
    }
    std::size_t size = 0;
    std::vector<asio::const_buffer> buffers;
    while (!m_queue.empty() && m_batch.size() < batch_messages && size < batch_bytes) {
        size += m_queue.front().size();
        m_batch.push_back(std::move(m_queue.front()));
        m_queue.pop_front();
    }
    for (const frame& bytes : m_batch) {
        buffers.emplace_back(asio::buffer(bytes));
    }
    m_handed_sequence += m_batch.size();
    asio::async_write(m_socket, buffers, [self = shared_from_this()](const error_code& error, std::size_t) {
        self->finish_batch(error);
    });
}

void peer_link::finish_batch(const error_code& error) {
    for (const frame& bytes : m_batch) {
        m_pending_bytes -= bytes.size();
    }
    m_batch.clear();
    if (m_state == link_state::closed) {
        return;
    }
    if (error) {
        close(close_reason::lost, error.message());
        return;
    }
    write_next_batch();
}

void peer_link::retire() {
    m_retiring = true;
    write_next_batch();
}

void peer_link::shut_down_if_retiring() {
    if (m_peer_closed_sending) {
        close(close_reason::closed_by_peer, "both sides closed the connection");
        return;
    }
    if (m_retiring) {
        error_code ignored;
        m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    }
}

void peer_link::close(close_reason reason, std::string detail) {
    if (m_state == link_state::closed) {
        return;
    }
    m_state = link_state::closed;
    m_timer.cancel();
    error_code ignored;
    m_socket.close(ignored);
    const link_loss loss{m_identifier, reason, std::move(detail), first_unsent()};
    asio::post(m_socket.get_executor(), [self = shared_from_this(), loss] {
        // Drops the handlers, because they may own the link, which would form a reference cycle.
        const callbacks handlers = std::exchange(self->m_handlers, {});
        handlers.closed(self, loss);
    });
}

} // namespace carawayway::peer
