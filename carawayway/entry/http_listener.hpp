// HTTP/1.1 server with limits on connections and sizes. Passes each request to a handler. Used by the
// listeners for callers and for operators; internal to this folder.
#pragma once

#include "carawayway/config/instance_settings.hpp"
#include "carawayway/entry/caller_http.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace carawayway::entry {

struct listener_limits {
    std::uint32_t connections = 0;
    std::uint32_t header_bytes = 0;
    std::uint32_t body_bytes = 0;
    base::duration idle_timeout{};

    bool operator==(const listener_limits&) const = default;
};

// A request and the connection that it arrived on.
struct http_exchange {
    boost::beast::tcp_stream& stream;
    http_request request;
    std::string client_address;
};

class http_listener : public std::enable_shared_from_this<http_listener> {
public:
    // The handler returns no response when the client has disconnected; the connection is then closed.
    using handler_function =
        std::function<boost::asio::awaitable<std::optional<http_response>>(http_exchange&)>;

    http_listener(boost::asio::io_context& context, listener_limits limits, handler_function handler);

    // Binds the address, starts accepting connections and returns the bound address. Throws
    // boost::system::system_error when the address cannot be bound.
    config::socket_address listen(const config::socket_address& address);

    // Stops accepting connections and calls `done` once the responses to all requests that were read are
    // written.
    void finish(std::function<void()> done);

    // Closes the listening socket; established connections stay open.
    void close();

private:
    static boost::asio::awaitable<void> accept_connections(std::shared_ptr<http_listener> self);
    static boost::asio::awaitable<void> serve(std::shared_ptr<http_listener> self,
                                              boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<void> serve_requests(boost::beast::tcp_stream& stream, std::string client_address);
    boost::asio::awaitable<bool> respond(http_exchange& exchange);
    boost::asio::awaitable<void> respond_to_read_error(boost::beast::tcp_stream& stream,
                                                       boost::system::error_code error);
    boost::asio::awaitable<bool> write(boost::beast::tcp_stream& stream, const http_response& response);
    void exchange_ended();

    boost::asio::io_context& m_context;
    listener_limits m_limits;
    handler_function m_handler;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::uint32_t m_connections = 0;
    std::uint32_t m_active_exchanges = 0; // requests that were read and whose response is not written yet
    std::function<void()> m_on_finished;  // set by `finish` until it is called
};

} // namespace carawayway::entry
