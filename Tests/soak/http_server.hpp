// HTTP/1.1 server for the store and the backend servers of a soak run. It runs on the event loop of the run.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace carawayway::soak {

namespace http = boost::beast::http;
using http_request = http::request<http::string_body>;
using http_response = http::response<http::string_body>;

// Returns std::nullopt to reset the connection without a response. The body of a response that has neither a
// length nor chunks goes on without end, until the peer closes the connection, and so does the trailer of one
// in chunks.
using http_handler = std::function<boost::asio::awaitable<std::optional<http_response>>(http_request)>;

class http_server {
public:
    http_server(boost::asio::io_context& context, const std::string& host, http_handler handler);

    // Returns the bytes that are written before the response to a request, or none. `last_failure` is the
    // last response with an error status on the same connection.
    using extra_bytes = std::function<std::string(const http_response& last_failure)>;
    void write_before_responses(extra_bytes bytes) { m_extra_bytes = std::move(bytes); }

    // HOST:PORT. Call it only while connections are accepted.
    std::string address() const;

    // Resets all connections and refuses new ones, as the end of the process does.
    void end();
    // Refuses new connections, and leaves open ones without a response.
    void fall_silent();

private:
    using shared_socket = std::shared_ptr<boost::asio::ip::tcp::socket>;

    boost::asio::awaitable<void> accept_connections();
    boost::asio::awaitable<void> serve_connection(shared_socket socket);

    boost::asio::ip::tcp::acceptor m_acceptor;
    http_handler m_handler;
    extra_bytes m_extra_bytes;             // null: none
    std::set<shared_socket> m_connections; // open ones
};

http_response make_response(unsigned status, std::string body = {});

// Suspends the coroutine without blocking the event loop; errors of the timer are ignored.
boost::asio::awaitable<void> sleep_for(std::chrono::milliseconds length);

} // namespace carawayway::soak
