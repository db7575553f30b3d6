// Opens connections to a server without sending anything.
#include "carawayway/gateway/server_liveness.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace carawayway::gateway {

namespace {

using boost::asio::redirect_error;
using boost::asio::use_awaitable;

constexpr int connection_attempts = 2;
constexpr base::duration pause_between_attempts = std::chrono::milliseconds{100};

} // namespace

boost::asio::awaitable<bool> has_server_ended(boost::asio::any_io_executor executor,
                                              boost::asio::ip::tcp::endpoint address,
                                              base::duration connect_timeout) {
    for (int attempt = 0; attempt < connection_attempts; ++attempt) {
        boost::system::error_code error;
        if (attempt > 0) {
            boost::asio::steady_timer pause(executor, pause_between_attempts);
            co_await pause.async_wait(redirect_error(use_awaitable, error));
        }
        boost::beast::tcp_stream stream(executor);
        stream.expires_after(std::chrono::duration_cast<std::chrono::milliseconds>(connect_timeout));
        co_await stream.async_connect(address, redirect_error(use_awaitable, error));
        if (error) {
            co_return true;
        }
    }
    co_return false;
}

} // namespace carawayway::gateway
