// Pool of idle connections to backend servers.
#pragma once

#include "carawayway/base/time.hpp"
#include "carawayway/net/message_limits.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <string>
#include <unordered_map>
#include <vector>

namespace carawayway::gateway {

struct backend_connection {
    explicit backend_connection(boost::asio::ip::tcp::socket open) : socket(std::move(open)) {}

    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer{net::maximum_read_buffer_bytes};
    base::time_point last_used{};
    base::duration idle_timeout{}; // after which the server closes the connection
    bool reused = false;
};

class backend_pool {
public:
    // For servers that do not announce a keep-alive timeout.
    static constexpr base::duration default_idle_timeout = std::chrono::seconds{8};

    // Returns the most recently used connection to this server that has been idle for at most
    // `maximum_idle_time`, or null. Closes connections that the server has closed and connections that have
    // received bytes outside of a response.
    std::unique_ptr<backend_connection> take(const std::string& server, base::duration maximum_idle_time,
                                             base::time_point now);

    void put(const std::string& server, std::unique_ptr<backend_connection> connection, base::time_point now);

    // Closes connections that the server has closed or is about to close.
    void close_stale(base::time_point now);
    // Closes all idle connections to a server.
    void close_all(const std::string& server);
    // Closes all idle connections.
    void clear() { m_idle_connections.clear(); }

    std::size_t size() const;

private:
    // Whether the connection is open and has no unread bytes.
    static bool is_reusable(backend_connection& connection);

    std::unordered_map<std::string, std::vector<std::unique_ptr<backend_connection>>>
        m_idle_connections; // by server ID
};

} // namespace carawayway::gateway
