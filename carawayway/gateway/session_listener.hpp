// Accepts connections and keeps track of their sessions.
#pragma once

#include "carawayway/gateway/caller_session.hpp"

#include <functional>
#include <memory>
#include <unordered_set>

namespace carawayway::gateway {

class session_listener {
public:
    // Binds and listens. Throws boost::system::system_error when the address cannot be bound.
    session_listener(const boost::asio::any_io_executor& executor,
                     const boost::asio::ip::tcp::endpoint& address, std::size_t maximum_sessions,
                     session_policy policy);

    void close_after_responses(); // for current and future sessions
    void close_idle();
    void expire_requests(); // in progress
    // Stops accepting connections. Those that wait to be accepted still get a session.
    void close();

    // Ends the connection that holds the most memory for the longest time while its caller keeps it waiting,
    // in sending a request or in reading a response. Returns whether there was one.
    bool end_stalled_session();

    unanswered_requests unanswered() const;
    std::size_t size() const { return m_shared->sessions.size(); }

private:
    // Outlives the listener while sessions are open.
    struct shared_state {
        std::unordered_set<std::shared_ptr<caller_session>> sessions;
        std::size_t maximum_sessions = 0;
        std::shared_ptr<const session_policy> policy;
        bool stopping = false;
    };

    static boost::asio::awaitable<void> accept(std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor,
                                               std::shared_ptr<shared_state> shared);
    void accept_waiting();
    // Ends the connection that has been idle for the longest time, or without one the most expensive stalled
    // one. Returns whether there was one.
    static bool make_place(const shared_state& shared);
    static bool end_stalled(const shared_state& shared, std::string_view cause);
    static void try_start_session(boost::asio::ip::tcp::socket socket,
                                  const std::shared_ptr<shared_state>& shared);
    static void start_session(boost::asio::ip::tcp::socket socket,
                              const std::shared_ptr<shared_state>& shared);

    std::shared_ptr<boost::asio::ip::tcp::acceptor> m_acceptor;
    std::shared_ptr<shared_state> m_shared;
};

} // namespace carawayway::gateway
