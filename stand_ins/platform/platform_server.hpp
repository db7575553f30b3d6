// Stand-in for the platform's key-value store: the etcd v3 HTTP/JSON gateway protocol over data in memory,
// with test controls for slowness, outages and lost replies. Runs on its own thread.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace stand_ins {

class platform_server {
public:
    // Opens both ports and serves; throws boost::system::system_error when a port cannot be opened. Port 0
    // takes a free one. The control port serves controls only and works whatever was commanded.
    platform_server(const boost::asio::ip::tcp::endpoint& listen,
                    const boost::asio::ip::tcp::endpoint& control);
    // The same on free ports of the loopback address.
    platform_server();

    platform_server(const platform_server&) = delete;
    platform_server& operator=(const platform_server&) = delete;
    platform_server(platform_server&&) = delete;
    platform_server& operator=(platform_server&&) = delete;
    ~platform_server();

    std::string address() const; // IP:PORT
    std::string control_address() const;

    // Carries out one control message and returns its reply, both JSON. Thread-safe.
    std::string control(std::string_view message);

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace stand_ins
