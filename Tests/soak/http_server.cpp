// Accepts connections and passes the requests of each connection to the handler, one at a time.
#include "Tests/soak/http_server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace carawayway::soak {

using boost::asio::redirect_error;
using boost::asio::use_awaitable;

namespace {

void reset(boost::asio::ip::tcp::socket& socket) {
    boost::system::error_code ignored_error; // it is closed in any case
    socket.set_option(boost::asio::socket_base::linger(true, 0), ignored_error);
    socket.close(ignored_error);
}

// Returns when the peer has closed the connection.
boost::asio::awaitable<boost::system::error_code> write_endlessly(boost::asio::ip::tcp::socket& socket,
                                                                  http_response& response) {
    static constexpr std::string_view begin_of_trailer = "0\r\nX: ";
    static const std::string part(64U << 10U, 'x');
    boost::system::error_code error;
    http::response_serializer<http::string_body> serializer(response);
    co_await http::async_write_header(socket, serializer, redirect_error(use_awaitable, error));
    if (response.chunked() && !error) {
        co_await boost::asio::async_write(socket, boost::asio::buffer(begin_of_trailer),
                                          redirect_error(use_awaitable, error));
    }
    while (!error) {
        co_await boost::asio::async_write(socket, boost::asio::buffer(part),
                                          redirect_error(use_awaitable, error));
    }
    co_return error;
}

} // namespace

http_server::http_server(boost::asio::io_context& context, const std::string& host, http_handler handler)
    : m_acceptor(context, {boost::asio::ip::make_address(host), 0}), m_handler(std::move(handler)) {
    boost::asio::co_spawn(context, accept_connections(), boost::asio::detached);
}

std::string http_server::address() const {
    const auto endpoint = m_acceptor.local_endpoint();
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

boost::asio::awaitable<void> http_server::accept_connections() {
    for (;;) {
        boost::system::error_code error;
        auto socket = co_await m_acceptor.async_accept(redirect_error(use_awaitable, error));
        if (error) {
            co_return;
        }
        boost::asio::co_spawn(
            m_acceptor.get_executor(),
            serve_connection(std::make_shared<boost::asio::ip::tcp::socket>(std::move(socket))),
            boost::asio::detached);
    }
}

boost::asio::awaitable<void> http_server::serve_connection(shared_socket socket) {
    m_connections.insert(socket);
    boost::beast::flat_buffer buffer;
    boost::system::error_code error;
    std::optional<http_response> last_failure;
    while (!error) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(boost::none);
        co_await http::async_read(*socket, buffer, parser, redirect_error(use_awaitable, error));
        if (error) {
            break;
        }
        auto request = parser.release();
        if (last_failure && m_extra_bytes) {
            const auto bytes = m_extra_bytes(*last_failure);
            co_await boost::asio::async_write(*socket, boost::asio::buffer(bytes),
                                              redirect_error(use_awaitable, error));
        }
        auto answer = co_await m_handler(std::move(request));
        if (!answer) {
            reset(*socket);
            break;
        }
        if (http::to_status_class(answer->result()) == http::status_class::client_error ||
            http::to_status_class(answer->result()) == http::status_class::server_error) {
            last_failure = answer;
        }
        if (answer->need_eof() || answer->chunked()) {
            error = co_await write_endlessly(*socket, *answer);
        } else {
            co_await http::async_write(*socket, *answer, redirect_error(use_awaitable, error));
        }
    }
    m_connections.erase(socket);
}

void http_server::fall_silent() {
    boost::system::error_code ignored_error; // it is closed in any case
    m_acceptor.close(ignored_error);
}

void http_server::end() {
    fall_silent();
    for (const auto& socket : m_connections) {
        reset(*socket);
    }
}

http_response make_response(unsigned status, std::string body) {
    http_response response{static_cast<http::status>(status), 11};
    response.body() = std::move(body);
    response.prepare_payload();
    return response;
}

boost::asio::awaitable<void> sleep_for(std::chrono::milliseconds length) {
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
    timer.expires_after(length);
    boost::system::error_code ignored_error;
    co_await timer.async_wait(redirect_error(use_awaitable, ignored_error));
}

} // namespace carawayway::soak
