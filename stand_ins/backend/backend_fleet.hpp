// Stand-in for the backend servers of a firm: many servers in one process, on one thread.
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
    // Opens all ports and serves; throws boost::system::system_error when a port cannot be opened.
    backend_fleet(const std::vector<server_spec>& servers, backend_options options,
                  const boost::asio::ip::tcp::endpoint& control);

    // The same with the control port on a free port of the loopback address.
    explicit backend_fleet(const std::vector<server_spec>& servers, backend_options options = {});

    backend_fleet(const backend_fleet&) = delete;
    backend_fleet& operator=(const backend_fleet&) = delete;
    backend_fleet(backend_fleet&&) = delete;
    backend_fleet& operator=(backend_fleet&&) = delete;
    ~backend_fleet();

    // IP:PORT of a server; throws std::out_of_range for an unknown name.
    std::string address(std::string_view server) const;
    std::string control_address() const;

    // Carries out one control message and returns its reply, both JSON. Thread-safe.
    std::string control(std::string_view message);

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace stand_ins
