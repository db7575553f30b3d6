// Stand-in for the network between failure domains: relays TCP connections and can delay, stall, reset or
// refuse them.
#pragma once

#include "stand_ins/link/route_spec.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace stand_ins {

class link_relay {
public:
    // Opens all ports and starts to relay. Throws boost::system::system_error when a port cannot be opened.
    link_relay(const std::vector<route_spec>& routes, const boost::asio::ip::tcp::endpoint& control);

    // Same, with the control listener on a free port of the loopback address.
    explicit link_relay(const std::vector<route_spec>& routes);

    link_relay(const link_relay&) = delete;
    link_relay& operator=(const link_relay&) = delete;
    link_relay(link_relay&&) = delete;
    link_relay& operator=(link_relay&&) = delete;
    ~link_relay();

    // Returns IP:PORT on which a route listens. Throws std::out_of_range for an unknown name.
    std::string address(std::string_view route) const;
    std::string control_address() const;

    // Executes one JSON control message and returns the JSON reply. Thread-safe.
    std::string control(std::string_view message);

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace stand_ins
