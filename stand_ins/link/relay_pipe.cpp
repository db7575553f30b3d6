// Queues, delays and stalls relayed bytes.
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
// Large enough that the delay does not limit the throughput: 160 MB/s at a delay of 100 ms.
constexpr std::size_t maximum_queued_bytes = std::size_t{16} * 1024 * 1024;

asio::awaitable<void> wait_on(carawayway::net::timer& timer, time_point until) {
    timer.expires_at(until);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace

relay_pipe::relay_pipe(const asio::any_io_executor& executor, direction_state& direction)
    : m_direction(direction), m_space_signal(executor), m_chunk_signal(executor) {}

void relay_pipe::push(chunk_kind kind, std::string bytes) {
    m_queued_bytes += bytes.size();
    m_chunks.push_back({kind, monotonic_now(), std::move(bytes)});
    m_chunk_signal.cancel();
}

asio::awaitable<void> relay_pipe::read_from(tcp::socket& source) {
    const auto buffer = std::make_unique<std::array<char, read_bytes>>();
    while (!m_aborted) {
        if (m_queued_bytes >= maximum_queued_bytes) {
            co_await wait_on(m_space_signal, time_point::max());
            continue;
        }
        boost::system::error_code error;
        const std::size_t count = co_await source.async_read_some(
            asio::buffer(*buffer), asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            push(error == asio::error::eof ? chunk_kind::end : chunk_kind::failure, {});
            co_return;
        }
        push(chunk_kind::bytes, std::string(buffer->data(), count));
    }
}

asio::awaitable<void> relay_pipe::wait_for_delivery_time(time_point since) {
    while (!m_aborted) {
        const time_point due = since + m_direction.delay;
        if (m_direction.stalled) {
            co_await wait_on(m_chunk_signal, time_point::max());
        } else if (monotonic_now() < due) {
            co_await wait_on(m_chunk_signal, due);
        } else {
            co_return;
        }
    }
}

asio::awaitable<bool> relay_pipe::write_to(tcp::socket& target) {
    while (!m_aborted) {
        if (m_chunks.empty()) {
            co_await wait_on(m_chunk_signal, time_point::max());
            continue;
        }
        const time_point arrival = m_chunks.front().arrival;
        co_await wait_for_delivery_time(arrival);
        if (m_aborted) {
            break;
        }
        const chunk next = std::move(m_chunks.front());
        m_chunks.pop_front();
        boost::system::error_code error;
        if (next.kind == chunk_kind::failure) {
            co_return false;
        }
        if (next.kind == chunk_kind::end) {
            target.shutdown(tcp::socket::shutdown_send, error);
            co_return !error;
        }
        co_await asio::async_write(target, asio::buffer(next.bytes),
                                   asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return false;
        }
        m_direction.delivered_bytes += next.bytes.size();
        m_queued_bytes -= next.bytes.size();
        m_space_signal.cancel();
    }
    co_return false;
}

void relay_pipe::notify_direction_changed() {
    m_chunk_signal.cancel();
}

void relay_pipe::abort() {
    m_aborted = true;
    m_chunk_signal.cancel();
    m_space_signal.cancel();
}

} // namespace stand_ins
