// One connection to the store for calls that follow each other.
#pragma once

#include "carawayway/base/time.hpp"
#include "carawayway/fleet/store_messages.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <optional>
#include <string>

namespace carawayway::gateway {

struct store_answer {
    unsigned status = 0;
    std::string body;

    bool operator==(const store_answer&) const = default;
};

class store_channel {
public:
    store_channel(const boost::asio::any_io_executor& executor, boost::asio::ip::tcp::endpoint address);

    // One call at a time. Nothing when the store did not answer within the time-out; the call may have been
    // carried out, and the connection is closed.
    boost::asio::awaitable<std::optional<store_answer>> call(fleet::store_call call, base::duration timeout);

    // Ends a call in progress without an answer.
    void interrupt();

private:
    boost::asio::awaitable<bool> connect();
    void close();

    boost::asio::ip::tcp::endpoint m_address;
    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer;
    bool m_open = false;
};

} // namespace carawayway::gateway
