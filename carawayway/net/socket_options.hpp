// Options of TCP sockets towards servers, callers, the store and peers.
#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace carawayway::net {

// No delay for small writes, and an error when sent bytes are not acknowledged in time: a machine without
// power or behind a partition does not reset its connections.
void set_backend_options(boost::asio::ip::tcp::socket& socket);
void set_caller_options(boost::asio::ip::tcp::socket& socket);

} // namespace carawayway::net
