// Opens sockets that listen for connections.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace carawayway::net {

// Throws boost::system::system_error, whose text has the address, if the address cannot be bound.
boost::asio::ip::tcp::acceptor listen_on(const boost::asio::any_io_executor& executor,
                                         const boost::asio::ip::tcp::endpoint& address);

// Whether an address that could not be bound for this reason may become free: another process holds it, as
// one that is ending, or the network of this host is not up yet.
bool is_address_unavailable(const boost::system::error_code& error);

} // namespace carawayway::net
