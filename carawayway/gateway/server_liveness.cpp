// Opens connections to servers without sending anything.
#include "carawayway/gateway/server_liveness.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <memory>

namespace carawayway::gateway {

namespace {

using boost::asio::redirect_error;
using boost::asio::use_awaitable;

constexpr int connection_attempts = 2;
constexpr base::duration pause_between_attempts = std::chrono::milliseconds{100};

// Shared by the attempts to reach one of several targets.
struct parallel_attempts {
    explicit parallel_attempts(const boost::asio::any_io_executor& executor) : ended(executor) {
        ended.expires_at(boost::asio::steady_timer::time_point::max());
    }

    std::size_t running = 0;
    bool has_connected = false;
    boost::asio::steady_timer ended; // cancelled when the result is known
};

boost::asio::awaitable<void> try_target(boost::asio::any_io_executor executor, connection_target target,
                                        std::shared_ptr<parallel_attempts> attempts) {
    const bool connected = co_await accepts_connection(executor, target);
    attempts->has_connected = attempts->has_connected || connected;
    --attempts->running;
    if (attempts->has_connected || attempts->running == 0) {
        attempts->ended.cancel();
    }
}

} // namespace

boost::asio::awaitable<bool> accepts_connection(boost::asio::any_io_executor executor,
                                                connection_target target) {
    boost::beast::tcp_stream stream(executor);
    stream.expires_after(std::chrono::duration_cast<std::chrono::milliseconds>(target.timeout));
    boost::system::error_code error;
    co_await stream.async_connect(target.address, redirect_error(use_awaitable, error));
    co_return !error;
}

boost::asio::awaitable<bool> any_accepts_connection(boost::asio::any_io_executor executor,
                                                    std::vector<connection_target> targets) {
    if (targets.empty()) {
        co_return false;
    }
    const auto attempts = std::make_shared<parallel_attempts>(executor);
    attempts->running = targets.size();
    for (const auto& target : targets) {
        boost::asio::co_spawn(executor, try_target(executor, target, attempts), boost::asio::detached);
    }
    boost::system::error_code cancelled;
    co_await attempts->ended.async_wait(redirect_error(use_awaitable, cancelled));
    co_return attempts->has_connected;
}

boost::asio::awaitable<bool> has_server_ended(boost::asio::any_io_executor executor,
                                              boost::asio::ip::tcp::endpoint address,
                                              base::duration connect_timeout) {
    for (int attempt = 0; attempt < connection_attempts; ++attempt) {
        if (attempt > 0) {
            boost::system::error_code ignored; // the timer is not cancelled
            boost::asio::steady_timer pause(executor, pause_between_attempts);
            co_await pause.async_wait(redirect_error(use_awaitable, ignored));
        }
        const bool accepts = co_await accepts_connection(executor, {address, connect_timeout});
        if (!accepts) {
            co_return true;
        }
    }
    co_return false;
}

} // namespace carawayway::gateway
