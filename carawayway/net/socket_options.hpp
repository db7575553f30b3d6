// TCP options for connections to servers, callers and the store.
#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace carawayway::net {

// Both functions disable Nagle's algorithm and make the connection fail when sent bytes are not acknowledged
// in time: a machine that lost power or is partitioned does not reset its connections.
void set_backend_options(boost::asio::ip::tcp::socket& socket);
void set_caller_options(boost::asio::ip::tcp::socket& socket);

} // namespace carawayway::net
