// One direction of one relayed connection: a queue of bytes, each piece with the time at which it may leave.
#pragma once

#include "carawayway/base/time.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

namespace stand_ins {

// State of one direction that all connections of a route share.
struct direction_state {
    carawayway::base::duration delay{};
    bool stalled = false; // bytes are held
    std::uint64_t delivered_bytes = 0;
};

class relay_pipe {
public:
    relay_pipe(const boost::asio::any_io_executor& executor, direction_state& direction);

    // Reads until the source closes or fails. The end passes through the pipe like the bytes before it.
    boost::asio::awaitable<void> fill_from(boost::asio::ip::tcp::socket& source);

    // Writes until the end has been passed on. False when the connection failed and must be reset.
    boost::asio::awaitable<bool> drain_into(boost::asio::ip::tcp::socket& target);

    // Returns once `since` lies one delay back and the direction is not stalled, or after abandon().
    boost::asio::awaitable<void> wait_until_passable(carawayway::base::time_point since);

    void wake();    // the state of the direction has changed
    void abandon(); // both sides return as soon as they can

private:
    enum class piece_kind : std::uint8_t { bytes, end, failure };

    struct piece {
        piece_kind kind;
        carawayway::base::time_point arrival;
        std::string bytes;
    };

    void push(piece_kind kind, std::string bytes);

    direction_state& m_direction;
    std::deque<piece> m_pieces;
    std::size_t m_held_bytes = 0;            // in m_pieces
    boost::asio::steady_timer m_room_signal; // cancelled when pieces leave
    boost::asio::steady_timer m_work_signal; // cancelled when pieces arrive or the direction changes
    bool m_abandoned = false;
};

} // namespace stand_ins
