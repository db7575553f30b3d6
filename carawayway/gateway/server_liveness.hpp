// Tells a server that has ended from one that only lost a connection.
#pragma once

#include "carawayway/base/time.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace carawayway::gateway {

// Whether the server at this address no longer takes connections. Asks twice before it takes a server for
// alive, since the process of a crashed one may still be ending. `connect_timeout` is for each connection.
boost::asio::awaitable<bool> has_server_ended(boost::asio::any_io_executor executor,
                                              boost::asio::ip::tcp::endpoint address,
                                              base::duration connect_timeout);

} // namespace carawayway::gateway
