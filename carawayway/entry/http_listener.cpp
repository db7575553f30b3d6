// Each connection is a coroutine that handles one request at a time.
#include "carawayway/entry/http_listener.hpp"

#include "carawayway/net/message_limits.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <utility>

namespace carawayway::entry {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);
constexpr auto write_timeout = std::chrono::seconds(10); // clients that read more slowly are disconnected
// From the first byte of a request to its last.
constexpr auto request_read_timeout = std::chrono::seconds(10);
constexpr auto accept_retry_delay = std::chrono::milliseconds(50);
constexpr std::size_t initial_read_bytes = 4096; // most requests fit and need no second read
constexpr unsigned http_1_1 = 11;

} // namespace

http_listener::http_listener(asio::io_context& context, listener_limits limits, handler_function handler)
    : m_context(context), m_limits(limits), m_handler(std::move(handler)), m_acceptor(context) {}

config::socket_address http_listener::listen(const config::socket_address& address) {
    const tcp::endpoint endpoint(asio::ip::make_address(address.host), address.port);
    m_acceptor.open(endpoint.protocol());
    m_acceptor.set_option(tcp::acceptor::reuse_address(true));
    m_acceptor.bind(endpoint);
    m_acceptor.listen();
    asio::co_spawn(m_context, accept_connections(shared_from_this()), asio::detached);
    const auto bound = m_acceptor.local_endpoint();
    return {bound.address().to_string(), bound.port()};
}

void http_listener::close() {
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
}

void http_listener::finish(std::function<void()> done) {
    close();
    m_on_finished = std::move(done);
    if (m_active_exchanges == 0) {
        std::exchange(m_on_finished, nullptr)();
    }
}

void http_listener::exchange_ended() {
    --m_active_exchanges;
    if (m_active_exchanges == 0 && m_on_finished) {
        std::exchange(m_on_finished, nullptr)();
    }
}

asio::awaitable<void> http_listener::accept_connections(std::shared_ptr<http_listener> self) {
    while (self->m_acceptor.is_open()) {
        auto [error, socket] = co_await self->m_acceptor.async_accept(use_tuple);
        if (error == asio::error::operation_aborted || error == asio::error::bad_descriptor) {
            co_return;
        }
        if (error) {
            // Out of file descriptors: wait before the next accept, so that the loop does not spin.
            asio::steady_timer retry_timer(self->m_context, accept_retry_delay);
            co_await retry_timer.async_wait(use_tuple);
            continue;
        }
        boost::system::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        asio::co_spawn(self->m_context, serve(self, std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> http_listener::serve(std::shared_ptr<http_listener> self, tcp::socket socket) {
    boost::system::error_code error;
    const auto remote = socket.remote_endpoint(error);
    if (error) {
        co_return;
    }
    ++self->m_connections;
    beast::tcp_stream stream(std::move(socket));
    if (self->m_connections > self->m_limits.connections) {
        auto refusal =
            to_response(engine::make_error_response(base::error_kind::too_many_connections,
                                                    "connection limit reached", std::chrono::seconds(1)),
                        http_1_1);
        refusal.keep_alive(false);
        co_await self->write(stream, refusal);
    } else {
        co_await self->serve_requests(stream, remote.address().to_string());
    }
    stream.socket().shutdown(tcp::socket::shutdown_send, error);
    --self->m_connections;
}

asio::awaitable<void> http_listener::serve_requests(beast::tcp_stream& stream, std::string client_address) {
    beast::flat_buffer buffer(std::max<std::size_t>(net::maximum_read_buffer_bytes, m_limits.header_bytes));
    for (;;) {
        http::request_parser<http::string_body> parser;
        net::chunk_extension_limit extension_limit(parser);
        parser.header_limit(m_limits.header_bytes);
        parser.body_limit(m_limits.body_bytes);
        if (buffer.size() == 0) {
            stream.expires_after(
                std::chrono::duration_cast<std::chrono::milliseconds>(m_limits.idle_timeout));
            // The idle timeout applies until the first byte. The timeout for the request itself is shorter.
            auto [idle_error, first] =
                co_await stream.async_read_some(buffer.prepare(initial_read_bytes), use_tuple);
            if (idle_error) {
                co_return;
            }
            buffer.commit(first);
        }
        stream.expires_after(request_read_timeout);
        auto [error, bytes] = co_await http::async_read(stream, buffer, parser, use_tuple);
        if (error) {
            co_await respond_to_read_error(stream, error);
            co_return;
        }
        http_exchange exchange{stream, parser.release(), client_address};
        ++m_active_exchanges;
        const bool keep_open = co_await respond(exchange);
        exchange_ended();
        if (!keep_open) {
            co_return;
        }
    }
}

// Returns false when the connection must be closed.
asio::awaitable<bool> http_listener::respond(http_exchange& exchange) {
    auto response = co_await m_handler(exchange);
    if (!response) {
        co_return false;
    }
    const bool keep_open = exchange.request.keep_alive() && response->keep_alive() && !m_on_finished;
    response->keep_alive(keep_open);
    const bool written = co_await write(exchange.stream, *response);
    co_return written&& keep_open;
}

asio::awaitable<void> http_listener::respond_to_read_error(beast::tcp_stream& stream,
                                                           boost::system::error_code error) {
    if (error == http::error::end_of_stream || error == asio::error::connection_reset) {
        co_return;
    }
    const bool too_large = error == http::error::body_limit || error == http::error::header_limit ||
                           error == http::error::buffer_overflow;
    const auto kind = too_large ? base::error_kind::request_too_large : base::error_kind::request_invalid;
    auto response = to_response(engine::make_error_response(kind, error.message()), http_1_1);
    response.keep_alive(false);
    co_await write(stream, response);
}

asio::awaitable<bool> http_listener::write(beast::tcp_stream& stream, const http_response& response) {
    stream.expires_after(write_timeout);
    auto [error, bytes] = co_await http::async_write(stream, response, use_tuple);
    co_return !error;
}

} // namespace carawayway::entry
