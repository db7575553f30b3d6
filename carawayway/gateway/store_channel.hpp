// A connection to the store for sequential HTTP calls.
#pragma once

#include "carawayway/base/time.hpp"
#include "carawayway/fleet/store_messages.hpp"
#include "carawayway/net/message_limits.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/fields.hpp>

#include <optional>
#include <string>

namespace carawayway::gateway {

struct store_response {
    unsigned status = 0;
    std::string body; // empty if it is too large
    boost::beast::http::fields headers;
    bool is_too_large = false;
};

class store_channel {
public:
    store_channel(const boost::asio::any_io_executor& executor, boost::asio::ip::tcp::endpoint address);

    // Only one call may be in progress. Returns nothing when the store does not answer within the timeout;
    // the store may still have executed the call, and the connection is closed. It is also closed behind an
    // answer that is too large.
    boost::asio::awaitable<std::optional<store_response>> call(fleet::store_call call,
                                                               base::duration timeout);

    // Aborts a call in progress, which then returns nothing.
    void interrupt();

private:
    boost::asio::awaitable<bool> connect();
    void close();

    boost::asio::ip::tcp::endpoint m_address;
    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer{net::maximum_read_buffer_bytes};
    bool m_open = false;
};

} // namespace carawayway::gateway
