// Stand-in for the backend servers of a customer: runs any number of servers in one process on one thread.
#pragma once

#include "stand_ins/backend/backend_options.hpp"
#include "stand_ins/backend/server_spec.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace stand_ins {

class backend_fleet {
public:
    // Opens all ports and starts to serve. Throws boost::system::system_error when a port cannot be opened.
    backend_fleet(const std::vector<server_spec>& servers, backend_options options,
                  const boost::asio::ip::tcp::endpoint& control);

    // Same, with the control listener on a free port of the loopback address.
    explicit backend_fleet(const std::vector<server_spec>& servers, backend_options options = {});

    backend_fleet(const backend_fleet&) = delete;
    backend_fleet& operator=(const backend_fleet&) = delete;
    backend_fleet(backend_fleet&&) = delete;
    backend_fleet& operator=(backend_fleet&&) = delete;
    ~backend_fleet();

    // Returns IP:PORT of a server. Throws std::out_of_range for an unknown name.
    std::string address(std::string_view server) const;
    std::string control_address() const;

    // Executes one JSON control message and returns the JSON reply. Thread-safe.
    std::string control(std::string_view message);

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace stand_ins
