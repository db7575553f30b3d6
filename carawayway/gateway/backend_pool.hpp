// Open connections to backend servers that wait for the next request.
#pragma once

#include "carawayway/base/time.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <string>
#include <unordered_map>
#include <vector>

namespace carawayway::gateway {

struct backend_connection {
    explicit backend_connection(boost::asio::ip::tcp::socket open) : socket(std::move(open)) {}

    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer;
    base::time_point last_used{};
    base::duration idle_limit{}; // after which the server closes it
    bool reused = false;
};

class backend_pool {
public:
    // Limit for a server that does not announce how long it keeps idle connections.
    static constexpr base::duration default_idle_limit = std::chrono::seconds{8};

    // The connection to this server that was used last, if one is idle for at most `longest_idle`. A
    // connection that the server closed, or on which bytes arrived that belong to no request, is closed
    // instead.
    std::unique_ptr<backend_connection> take(const std::string& server, base::duration longest_idle,
                                             base::time_point now);

    void put(const std::string& server, std::unique_ptr<backend_connection> connection, base::time_point now);

    // Closes connections that the server closed or soon would.
    void sweep(base::time_point now);
    // Closes the connections to a server that is gone.
    void drop(const std::string& server);

    std::size_t size() const;

private:
    static bool is_quiet(backend_connection& connection);

    std::unordered_map<std::string, std::vector<std::unique_ptr<backend_connection>>> m_idle; // by server ID
};

} // namespace carawayway::gateway
