// Sets TCP_NODELAY and TCP_USER_TIMEOUT.
#include "carawayway/net/socket_options.hpp"

#include "carawayway/base/log.hpp"

#include <netinet/tcp.h>

namespace carawayway::net {

namespace {

// Leaves time for several retransmissions on a lossy link, and stays well below request deadlines.
constexpr unsigned backend_user_timeout_ms = 900;
// Callers may read large responses slowly, but a caller that lost power must not hold memory for long.
constexpr unsigned caller_user_timeout_ms = 10'000;

using user_timeout = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

void set_options(boost::asio::ip::tcp::socket& socket, unsigned user_timeout_ms) {
    boost::system::error_code error;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), error);
    if (!error) {
        socket.set_option(user_timeout(static_cast<int>(user_timeout_ms)), error);
    }
    if (error) {
        base::log(base::log_level::debug, "socket-option-failed", {{"reason", error.message()}});
    }
}

} // namespace

void set_backend_options(boost::asio::ip::tcp::socket& socket) {
    set_options(socket, backend_user_timeout_ms);
}

void set_caller_options(boost::asio::ip::tcp::socket& socket) {
    set_options(socket, caller_user_timeout_ms);
}

} // namespace carawayway::net
