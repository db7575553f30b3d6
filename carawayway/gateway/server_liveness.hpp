// Opens connections to find out whether servers are reachable and alive.
#pragma once

#include "carawayway/base/time.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <vector>

namespace carawayway::gateway {

struct connection_target {
    boost::asio::ip::tcp::endpoint address;
    base::duration timeout{};

    bool operator==(const connection_target&) const = default;
};

// Whether a connection to the target can be opened. It is closed again without sending anything.
boost::asio::awaitable<bool> accepts_connection(boost::asio::any_io_executor executor,
                                                connection_target target);

// Tries all targets at once, and ends with the first connection that can be opened.
boost::asio::awaitable<bool> any_accepts_connection(boost::asio::any_io_executor executor,
                                                    std::vector<connection_target> targets);

// Whether the server at this address no longer takes connections. Asks twice before it takes a server for
// alive, since the process of a crashed one may still be ending. `connect_timeout` is for each connection.
boost::asio::awaitable<bool> has_server_ended(boost::asio::any_io_executor executor,
                                              boost::asio::ip::tcp::endpoint address,
                                              base::duration connect_timeout);

} // namespace carawayway::gateway
