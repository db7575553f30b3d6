// Delaying and holding of relayed bytes.
#include "stand_ins/link/relay_pipe.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <memory>
#include <utility>

namespace stand_ins {

namespace asio = boost::asio;
using asio::ip::tcp;
using carawayway::base::monotonic_now;
using carawayway::base::time_point;

namespace {

constexpr std::size_t read_bytes = std::size_t{64} * 1024;
// Large enough that the delay does not limit the throughput: at 100 ms it passes 160 MB/s.
constexpr std::size_t maximum_held_bytes = std::size_t{16} * 1024 * 1024;

asio::awaitable<void> wait_on(asio::steady_timer& timer, time_point until) {
    timer.expires_at(until);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace

relay_pipe::relay_pipe(const asio::any_io_executor& executor, direction_state& direction)
    : m_direction(direction), m_room_signal(executor), m_work_signal(executor) {}

void relay_pipe::push(piece_kind kind, std::string bytes) {
    m_held_bytes += bytes.size();
    m_pieces.push_back({kind, monotonic_now(), std::move(bytes)});
    m_work_signal.cancel();
}

asio::awaitable<void> relay_pipe::fill_from(tcp::socket& source) {
    const auto buffer = std::make_unique<std::array<char, read_bytes>>();
    while (!m_abandoned) {
        if (m_held_bytes >= maximum_held_bytes) {
            co_await wait_on(m_room_signal, time_point::max());
            continue;
        }
        boost::system::error_code error;
        const std::size_t count = co_await source.async_read_some(
            asio::buffer(*buffer), asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            push(error == asio::error::eof ? piece_kind::end : piece_kind::failure, {});
            co_return;
        }
        push(piece_kind::bytes, std::string(buffer->data(), count));
    }
}

asio::awaitable<void> relay_pipe::wait_until_passable(time_point since) {
    while (!m_abandoned) {
        const time_point due = since + m_direction.delay;
        if (m_direction.stalled) {
            co_await wait_on(m_work_signal, time_point::max());
        } else if (monotonic_now() < due) {
            co_await wait_on(m_work_signal, due);
        } else {
            co_return;
        }
    }
}

asio::awaitable<bool> relay_pipe::drain_into(tcp::socket& target) {
    while (!m_abandoned) {
        if (m_pieces.empty()) {
            co_await wait_on(m_work_signal, time_point::max());
            continue;
        }
        const time_point arrival = m_pieces.front().arrival;
        co_await wait_until_passable(arrival);
        if (m_abandoned) {
            break;
        }
        const piece next = std::move(m_pieces.front());
        m_pieces.pop_front();
        boost::system::error_code error;
        if (next.kind == piece_kind::failure) {
            co_return false;
        }
        if (next.kind == piece_kind::end) {
            target.shutdown(tcp::socket::shutdown_send, error);
            co_return !error;
        }
        co_await asio::async_write(target, asio::buffer(next.bytes),
                                   asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return false;
        }
        m_direction.delivered_bytes += next.bytes.size();
        m_held_bytes -= next.bytes.size();
        m_room_signal.cancel();
    }
    co_return false;
}

void relay_pipe::wake() {
    m_work_signal.cancel();
}

void relay_pipe::abandon() {
    m_abandoned = true;
    m_work_signal.cancel();
    m_room_signal.cancel();
}

} // namespace stand_ins
