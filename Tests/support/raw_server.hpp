// A server that answers requests with any bytes, also such that are no HTTP.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace carawayway::test_support {

class raw_server {
public:
    enum class connection_end : std::uint8_t {
        reset,   // right behind the answer, whatever of the request is not read yet
        by_peer, // the connection stays open until the peer closes it
    };

    // Returns the bytes that answer the request with this head. Runs on a thread of the server.
    using answer_function = std::function<std::string(const std::string& head)>;

    // Each connection carries one request.
    raw_server(answer_function answer, connection_end end);
    raw_server(const raw_server&) = delete;
    raw_server(raw_server&&) = delete;
    raw_server& operator=(const raw_server&) = delete;
    raw_server& operator=(raw_server&&) = delete;
    ~raw_server();

    // IP:PORT.
    std::string address() const;

    // The value of a header, or an empty string.
    static std::string header(const std::string& head, const std::string& name);

private:
    boost::asio::awaitable<void> accept_connections();
    boost::asio::awaitable<void> serve_connection(std::shared_ptr<boost::asio::ip::tcp::socket> socket);

    answer_function m_answer;
    connection_end m_end;
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::thread m_thread;
};

} // namespace carawayway::test_support
