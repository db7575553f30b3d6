// An authenticated connection between two entry instances that carries messages in both directions.
#pragma once

#include "carawayway/base/error_kind.hpp"
#include "carawayway/peer/peer_types.hpp"
#include "carawayway/wire/frame_reader.hpp"
#include "carawayway/wire/link_authenticator.hpp"
#include "carawayway/wire/messages.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace carawayway::peer {

enum class link_state : std::uint8_t { connecting, authenticating, established, closed };

// State shared by the links of a process, which keep it alive.
struct link_context {
    wire::hello local; // the nonce is set per link
    wire::link_authenticator authenticator;
    link_limits limits;
    std::int64_t policy_revision = 0; // goes into the envelope of each message
    traffic_counters traffic;
    std::uint64_t next_link = 1;
};

// Not thread-safe: all calls and callbacks are on the executor's thread. `closed` is called exactly once,
// never from within a call of a member function.
class peer_link : public std::enable_shared_from_this<peer_link> {
public:
    using socket = boost::asio::ip::tcp::socket;
    using endpoint = boost::asio::ip::tcp::endpoint;

    struct callbacks {
        std::function<void(const std::shared_ptr<peer_link>&)> established;
        std::function<void(const std::shared_ptr<peer_link>&, wire::received_message&&)> message;
        std::function<void(const std::shared_ptr<peer_link>&, const link_loss&)> closed;
    };

    // Connects to `address`. The handshake fails if the peer has a name other than `expected_name`.
    static std::shared_ptr<peer_link> connect(const boost::asio::any_io_executor& executor,
                                              std::shared_ptr<link_context> context, const endpoint& address,
                                              std::string expected_name, callbacks handlers);

    // Takes over an accepted connection.
    static std::shared_ptr<peer_link> accept(socket connection, std::shared_ptr<link_context> context,
                                             callbacks handlers);

    // Queues a message. Never blocks: the result tells whether the link is not established, the queue is full
    // or the message is too large.
    send_result send(const wire::peer_message& message);

    // Refuses new messages, sends the queued ones, and reads until the peer closes its side as well.
    void retire();

    // Closes the connection and drops the queued messages.
    void close(close_reason reason, std::string detail);

    link_state state() const { return m_state; }
    wire::link_side side() const { return m_side; }
    std::uint64_t identifier() const { return m_identifier; }
    const wire::hello& remote() const { return m_remote; } // valid once established
    base::time_point established_at() const { return m_established_at; }
    std::uint64_t first_unsent() const { return m_handed_sequence + 1; } // as in link_loss

private:
    using frame = std::vector<std::byte>; // with prefix

    peer_link(socket connection, std::shared_ptr<link_context> context, wire::link_side side,
              std::string expected_name, callbacks handlers);

    void start(const std::optional<endpoint>& address);
    boost::asio::awaitable<void> run(std::optional<endpoint> address);
    boost::asio::awaitable<void> connect_socket(endpoint address);
    boost::asio::awaitable<bool> authenticate();
    boost::asio::awaitable<bool> exchange_hellos();
    boost::asio::awaitable<bool> send_proof();
    boost::asio::awaitable<bool> verify_proof();
    boost::asio::awaitable<void> read_messages();
    boost::asio::awaitable<std::optional<wire::received_message>> read_message();
    boost::asio::awaitable<bool> write_handshake_message(const wire::peer_message& message);
    bool is_acceptable_hello(const wire::hello& value, std::string& refusal) const;
    bool is_acceptable_envelope(const wire::envelope& value) const;
    void set_deadline(base::duration limit, close_reason reason, std::string detail);
    frame make_frame(const wire::peer_message& message);
    void write_next_batch();
    void finish_batch(const boost::system::error_code& error);
    void shut_down_if_retiring();

    std::shared_ptr<link_context> m_context;
    socket m_socket;
    boost::asio::steady_timer m_timer;
    wire::link_side m_side;
    std::string m_expected_name; // empty: any name is accepted
    callbacks m_handlers;
    link_state m_state = link_state::connecting;
    std::uint64_t m_identifier;
    wire::hello m_local;
    wire::hello m_remote;
    base::time_point m_established_at{};
    wire::frame_reader m_reader;
    std::vector<std::byte> m_read_buffer;
    std::uint64_t m_received_sequence = 0;
    std::uint64_t m_sent_sequence = 0;   // of the last message that was queued
    std::uint64_t m_handed_sequence = 0; // of the last message that was handed to the socket
    std::deque<frame> m_queue;           // waiting to be written
    std::vector<frame> m_batch;          // being written; empty: no write is in progress
    std::size_t m_pending_bytes = 0;     // in m_queue and m_batch
    bool m_retiring = false;
    bool m_peer_closed_sending = false; // the peer closed its side while messages were still queued here
    bool m_received_since_deadline_check = false; // any byte since the idle deadline was last checked
};

} // namespace carawayway::peer
