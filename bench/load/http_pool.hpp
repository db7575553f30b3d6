// Pool of keep-alive HTTP connections; each carries one exchange at a time.
#pragma once

#include "carawayway/base/time.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace carawayway::bench {

using http_request = boost::beast::http::request<boost::beast::http::string_body>;
using http_response = boost::beast::http::response<boost::beast::http::string_body>;

enum class exchange_end : std::uint8_t {
    answered,
    not_sent, // no byte was written
    lost,     // the connection ended before the whole answer
    timed_out,
};

struct exchange_result {
    exchange_end end = exchange_end::not_sent;
    std::optional<http_response> response;
};

class http_pool {
public:
    explicit http_pool(boost::asio::io_context& context) : m_context(context) {}

    // Any source address is used if `source` is unspecified. The deadline covers the connection attempt and
    // the exchange together.
    boost::asio::awaitable<exchange_result> exchange(boost::asio::ip::tcp::endpoint target,
                                                     boost::asio::ip::address source, http_request request,
                                                     base::time_point deadline);

private:
    struct connection;
    using connection_pointer = std::shared_ptr<connection>;
    using key = std::pair<boost::asio::ip::address, boost::asio::ip::tcp::endpoint>;

    connection_pointer take_idle(const key& route);
    boost::asio::awaitable<connection_pointer> connect(const key& route, base::time_point deadline);

    boost::asio::io_context& m_context;
    std::map<key, std::vector<connection_pointer>> m_idle;
};

// Sends one request on a new connection and blocks for at most `timeout`. For control calls and readiness
// checks, not for measurements.
std::optional<http_response> call_once(const boost::asio::ip::tcp::endpoint& target,
                                       const std::string& method, const std::string& path, std::string body,
                                       base::duration timeout);

} // namespace carawayway::bench
