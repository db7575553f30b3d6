// Stand-in for the platform's key-value store: the etcd v3 HTTP/JSON gateway protocol over data in memory,
// with control messages that inject delays, outages and lost replies. Runs on its own thread.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace stand_ins {

class platform_server {
public:
    // Opens both ports and starts to serve. Throws boost::system::system_error when a port cannot be opened.
    // Port 0 selects a free port. The control port accepts only control messages and works regardless of
    // injected faults.
    platform_server(const boost::asio::ip::tcp::endpoint& listen,
                    const boost::asio::ip::tcp::endpoint& control);
    // Same, on free ports of the loopback address.
    platform_server();

    platform_server(const platform_server&) = delete;
    platform_server& operator=(const platform_server&) = delete;
    platform_server(platform_server&&) = delete;
    platform_server& operator=(platform_server&&) = delete;
    ~platform_server();

    std::string address() const; // IP:PORT
    std::string control_address() const;

    // Executes one JSON control message and returns the JSON reply. Thread-safe.
    std::string control(std::string_view message);

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace stand_ins
