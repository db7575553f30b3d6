// Accepting of callers.
#include "carawayway/gateway/session_listener.hpp"

#include "carawayway/base/log.hpp"
#include "carawayway/net/socket_options.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace carawayway::gateway {

namespace {

// Pause when a connection cannot be accepted, for instance without a free descriptor.
constexpr base::duration accept_pause = std::chrono::milliseconds{20};

} // namespace

session_listener::session_listener(const boost::asio::any_io_executor& executor,
                                   const boost::asio::ip::tcp::endpoint& address, std::size_t most_sessions,
                                   serve_function serve, std::function<session_limits()> limits)
    : m_acceptor(std::make_shared<boost::asio::ip::tcp::acceptor>(executor)),
      m_shared(std::make_shared<shared_state>()) {
    m_acceptor->open(address.protocol());
    m_acceptor->set_option(boost::asio::socket_base::reuse_address(true));
    m_acceptor->bind(address);
    m_acceptor->listen();
    m_shared->most_sessions = most_sessions;
    m_shared->serve = std::move(serve);
    m_shared->limits = std::move(limits);
    boost::asio::co_spawn(executor, accept(m_acceptor, m_shared), boost::asio::detached);
}

void session_listener::stop_after_answers() {
    m_shared->stopping = true;
    for (const auto& session : m_shared->sessions) {
        session->stop_after_answers();
    }
}

void session_listener::close_idle() {
    const auto sessions = m_shared->sessions; // closing a session removes it
    for (const auto& session : sessions) {
        session->close_if_idle();
    }
}

void session_listener::close() {
    boost::system::error_code ignored; // the listener is given up in any case
    m_acceptor->close(ignored);
}

boost::asio::awaitable<void>
session_listener::accept(std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor,
                         std::shared_ptr<shared_state> shared) {
    while (acceptor->is_open()) {
        boost::system::error_code error;
        auto socket =
            co_await acceptor->async_accept(boost::asio::redirect_error(boost::asio::use_awaitable, error));
        if (!error) {
            add(std::move(socket), shared);
        } else if (acceptor->is_open()) {
            base::log(base::log_level::warning, "accept-failed", {{"reason", error.message()}});
            boost::asio::steady_timer pause(acceptor->get_executor(), accept_pause);
            co_await pause.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, error));
        }
    }
}

void session_listener::add(boost::asio::ip::tcp::socket socket, const std::shared_ptr<shared_state>& shared) {
    if (shared->sessions.size() >= shared->most_sessions) {
        return; // closes the connection before anything was read, so that the caller tries another gateway
    }
    net::set_caller_options(socket);
    const auto own = std::make_shared<std::weak_ptr<caller_session>>();
    auto session =
        std::make_shared<caller_session>(std::move(socket), shared->serve, shared->limits, [shared, own] {
            if (const auto ended = own->lock()) {
                shared->sessions.erase(ended);
            }
        });
    *own = session;
    shared->sessions.insert(session);
    if (shared->stopping) {
        session->stop_after_answers();
    }
    session->start();
}

} // namespace carawayway::gateway
