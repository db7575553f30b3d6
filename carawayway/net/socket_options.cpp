// Options of TCP sockets.
#include "carawayway/net/socket_options.hpp"

#include "carawayway/base/log.hpp"

#include <netinet/tcp.h>

namespace carawayway::net {

namespace {

// Several retransmissions on a link that loses packets, and well below the deadlines of requests.
constexpr unsigned backend_unacknowledged_ms = 900;
// Callers may be slow to take large answers, but a caller without power must not hold memory for long.
constexpr unsigned caller_unacknowledged_ms = 10'000;

using user_timeout = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

void set_options(boost::asio::ip::tcp::socket& socket, unsigned unacknowledged_ms) {
    boost::system::error_code error;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), error);
    if (!error) {
        socket.set_option(user_timeout(static_cast<int>(unacknowledged_ms)), error);
    }
    if (error) {
        base::log(base::log_level::debug, "socket-option-refused", {{"reason", error.message()}});
    }
}

} // namespace

void set_backend_options(boost::asio::ip::tcp::socket& socket) {
    set_options(socket, backend_unacknowledged_ms);
}

void set_caller_options(boost::asio::ip::tcp::socket& socket) {
    set_options(socket, caller_unacknowledged_ms);
}

} // namespace carawayway::net
