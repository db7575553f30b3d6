// One direction of a relayed connection: a queue of chunks that are delivered one delay after they arrive.
#pragma once

#include "carawayway/base/time.hpp"
#include "carawayway/net/timer.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

namespace stand_ins {

// State of one direction of a route, shared by all of its connections.
struct direction_state {
    carawayway::base::duration delay{};
    bool stalled = false; // bytes are queued but not delivered
    std::uint64_t delivered_bytes = 0;
};

class relay_pipe {
public:
    relay_pipe(const boost::asio::any_io_executor& executor, direction_state& direction);

    // Reads until the source closes or fails. The end of the stream is queued and delayed like data.
    boost::asio::awaitable<void> read_from(boost::asio::ip::tcp::socket& source);

    // Writes until the end of the stream has been delivered. Returns false when the connection has failed and
    // must be reset.
    boost::asio::awaitable<bool> write_to(boost::asio::ip::tcp::socket& target);

    // Waits until one delay has passed since `since` and the direction is not stalled. Also returns after
    // abort().
    boost::asio::awaitable<void> wait_for_delivery_time(carawayway::base::time_point since);

    void notify_direction_changed(); // must be called after each change of the direction state
    void abort();                    // makes pending and later calls return

private:
    enum class chunk_kind : std::uint8_t { bytes, end, failure };

    struct chunk {
        chunk_kind kind;
        carawayway::base::time_point arrival;
        std::string bytes;
    };

    void push(chunk_kind kind, std::string bytes);

    direction_state& m_direction;
    std::deque<chunk> m_chunks;
    std::size_t m_queued_bytes = 0;        // total size of m_chunks
    carawayway::net::timer m_space_signal; // cancelled when chunks have been delivered
    carawayway::net::timer m_chunk_signal; // cancelled when chunks arrive or the direction changes
    bool m_aborted = false;
};

} // namespace stand_ins
