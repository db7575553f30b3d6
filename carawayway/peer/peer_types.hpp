// Types shared by peer_link and peer_network: limits, send results, close reasons and traffic counters.
#pragma once

#include "carawayway/base/time.hpp"
#include "carawayway/wire/frame_reader.hpp"
#include "carawayway/wire/messages.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace carawayway::peer {

struct link_limits {
    std::size_t frame_bytes = wire::maximum_payload_size;
    std::size_t queue_bytes = std::size_t{8} << 20U; // queued or being written
    std::size_t queue_messages = 4096;               // queued or being written
    base::duration connect_timeout = std::chrono::milliseconds(500);
    base::duration handshake_timeout = std::chrono::milliseconds(1000); // from TCP connect to established
    // A link that receives no byte for this long is closed. The next attempt to connect then shows whether
    // the peer process is gone or only silent.
    base::duration idle_timeout = std::chrono::milliseconds(1500);

    bool operator==(const link_limits&) const = default;
};

enum class send_status : std::uint8_t {
    sent,       // accepted by the link; bytes may reach the peer from now on
    no_link,    // nothing was handed to a socket
    queue_full, // nothing was handed to a socket
    too_large,  // nothing was handed to a socket
};

// Tells whether bytes of the message may have been handed to a socket. After `sent`, this is not known before
// the link is lost: messages on `link` with a sequence of at least `link_loss::first_unsent` were never
// handed to it.
struct send_result {
    send_status status = send_status::no_link;
    std::uint64_t link = 0;     // identifies the link within the process
    std::uint64_t sequence = 0; // of the message on the link

    bool operator==(const send_result&) const = default;
};

enum class close_reason : std::uint8_t {
    connect_refused,
    connect_timed_out,
    connect_failed,    // no route, no address or another local error
    handshake_silent,  // connected, but no hello or proof within the handshake timeout
    handshake_refused, // wrong key, wrong name or an invalid hello
    malformed,         // an invalid frame, message, sender or sequence
    idle,
    closed_by_peer,
    lost, // read or write error
    superseded,
    closed_locally,
};

std::string_view to_string(close_reason reason);

struct link_loss {
    std::uint64_t link = 0;
    close_reason reason = close_reason::lost;
    std::string detail;
    std::uint64_t first_unsent = 0; // messages from this sequence on were never handed to the socket

    bool operator==(const link_loss&) const = default;
};

// How an attempt to connect to a peer failed. Only a refused connection proves that its process is gone.
enum class connect_failure : std::uint8_t { refused, timed_out, handshake_timed_out };

struct message_traffic {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0; // including the length prefix

    bool operator==(const message_traffic&) const = default;
};

// Indexed by the kind of message: `wire::peer_message::index()`.
struct traffic_counters {
    std::array<message_traffic, wire::message_kind_count> sent{};
    std::array<message_traffic, wire::message_kind_count> received{};

    bool operator==(const traffic_counters&) const = default;
};

} // namespace carawayway::peer
