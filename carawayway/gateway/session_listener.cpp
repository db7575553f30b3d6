// Accepts connections and starts a session for each.
#include "carawayway/gateway/session_listener.hpp"

#include "carawayway/base/log.hpp"
#include "carawayway/net/listening_socket.hpp"
#include "carawayway/net/socket_options.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace carawayway::gateway {

namespace {

// Delay after a failed accept, for instance when no file descriptor is free.
constexpr base::duration accept_retry_delay = std::chrono::milliseconds{20};

// A connection gives way only if its caller has kept it waiting for this long, so that callers on their way
// to send a request are not cut off.
constexpr base::duration shortest_wait = std::chrono::milliseconds{500};

} // namespace

session_listener::session_listener(const boost::asio::any_io_executor& executor,
                                   const boost::asio::ip::tcp::endpoint& address,
                                   std::size_t maximum_sessions, session_policy policy)
    : m_acceptor(std::make_shared<boost::asio::ip::tcp::acceptor>(net::listen_on(executor, address))),
      m_shared(std::make_shared<shared_state>()) {
    m_shared->maximum_sessions = maximum_sessions;
    m_shared->policy = std::make_shared<const session_policy>(std::move(policy));
    boost::asio::co_spawn(executor, accept(m_acceptor, m_shared), boost::asio::detached);
}

void session_listener::close_after_responses() {
    m_shared->stopping = true;
    for (const auto& session : m_shared->sessions) {
        session->close_after_responses();
    }
}

void session_listener::close_idle() {
    const auto sessions = m_shared->sessions; // a copy, since closing a session removes it from the set
    for (const auto& session : sessions) {
        session->close_if_idle();
    }
}

void session_listener::expire_requests() {
    const auto sessions = m_shared->sessions; // a copy, since a session may end
    for (const auto& session : sessions) {
        session->expire_requests();
    }
}

void session_listener::close() {
    if (!m_acceptor->is_open()) {
        return;
    }
    accept_waiting();
    boost::system::error_code ignored; // the acceptor is discarded in any case
    m_acceptor->close(ignored);
}

unanswered_requests session_listener::unanswered() const {
    unanswered_requests result;
    for (const auto& session : m_shared->sessions) {
        result += session->unanswered();
    }
    return result;
}

// The kernel has completed these connections, and resets them when the listener closes.
void session_listener::accept_waiting() {
    boost::system::error_code error;
    m_acceptor->non_blocking(true, error);
    while (!error) {
        auto socket = m_acceptor->accept(error);
        if (!error) {
            start_session(std::move(socket), m_shared);
        }
    }
}

bool session_listener::make_place(const shared_state& shared) {
    const auto now = base::monotonic_now();
    std::shared_ptr<caller_session> longest;
    base::duration longest_time = shortest_wait;
    for (const auto& session : shared.sessions) {
        const auto time = session->idle_time(now);
        if (time && *time >= longest_time) {
            longest = session;
            longest_time = *time;
        }
    }
    if (longest) {
        longest->close_for_others();
        return true;
    }
    return end_stalled(shared, "connection-limit-stalled");
}

bool session_listener::end_stalled(const shared_state& shared, std::string_view cause) {
    const auto now = base::monotonic_now();
    std::shared_ptr<caller_session> worst;
    double worst_cost = 0.0;
    for (const auto& session : shared.sessions) {
        const auto stalled = session->stalled(now);
        const double cost =
            stalled ? base::to_seconds(stalled->age) * static_cast<double>(stalled->bytes) : 0.0;
        if (cost > worst_cost && stalled->age >= shortest_wait) {
            worst = session;
            worst_cost = cost;
        }
    }
    if (worst) {
        worst->give_way(cause);
    }
    return worst != nullptr;
}

bool session_listener::end_stalled_session() {
    return end_stalled(*m_shared, "memory");
}

boost::asio::awaitable<void>
session_listener::accept(std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor,
                         std::shared_ptr<shared_state> shared) {
    while (acceptor->is_open()) {
        boost::system::error_code error;
        auto socket =
            co_await acceptor->async_accept(boost::asio::redirect_error(boost::asio::use_awaitable, error));
        if (!error) {
            try_start_session(std::move(socket), shared);
        } else if (acceptor->is_open()) {
            base::log(base::log_level::warning, "accept-failed", {{"reason", error.message()}});
            boost::asio::steady_timer pause(acceptor->get_executor(), accept_retry_delay);
            co_await pause.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, error));
        }
    }
}

// An exception, for example when no memory can be allocated, ends this connection and not the listener.
void session_listener::try_start_session(boost::asio::ip::tcp::socket socket,
                                         const std::shared_ptr<shared_state>& shared) {
    try {
        start_session(std::move(socket), shared);
    } catch (const std::exception& error) {
        base::log(base::log_level::error, "connection-failed", {{"reason", error.what()}});
    }
}

void session_listener::start_session(boost::asio::ip::tcp::socket socket,
                                     const std::shared_ptr<shared_state>& shared) {
    if (shared->sessions.size() >= shared->maximum_sessions && !make_place(*shared)) {
        shared->policy->on_ended_early("connection-limit");
        return; // closes the connection before reading, so that the caller tries another gateway
    }
    net::set_caller_options(socket);
    const auto own = std::make_shared<std::weak_ptr<caller_session>>();
    auto session = std::make_shared<caller_session>(std::move(socket), shared->policy, [shared, own] {
        if (const auto closed = own->lock()) {
            shared->sessions.erase(closed);
        }
    });
    *own = session;
    shared->sessions.insert(session);
    if (shared->stopping) {
        session->close_after_responses();
    }
    session->start();
}

} // namespace carawayway::gateway
