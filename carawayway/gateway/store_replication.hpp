// Facts from other gateways, and the answers to gateways that ask.
#pragma once

#include "carawayway/base/time.hpp"
#include "carawayway/fleet/replication_codec.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <set>

namespace carawayway::gateway {

// Listens for the lifetime of the object and answers from `facts`. A question that may wait is held until
// there is news, as long as this gateway follows the store itself.
class fact_relay_server {
public:
    // Longest time that a question is held, whatever it allows.
    static constexpr base::duration longest_wait = std::chrono::seconds{2};

    // What the sender of a reply says of itself besides the facts.
    struct store_view {
        bool watches_store = false;
        base::duration undisturbed{};

        bool operator==(const store_view&) const = default;
    };
    using view_function = std::function<store_view()>;

    // Throws boost::system::system_error when the address cannot be bound.
    fact_relay_server(const boost::asio::any_io_executor& executor,
                      const boost::asio::ip::tcp::endpoint& address, const fleet::store_replica& facts,
                      view_function view);

    boost::asio::ip::tcp::endpoint endpoint() const { return m_acceptor->local_endpoint(); }

    // Answers the held questions: there is news, or the view of the store changed.
    void notify();

    void close();

private:
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<void> hold(const fleet::replication_request& request);

    std::shared_ptr<boost::asio::ip::tcp::acceptor> m_acceptor;
    const fleet::store_replica& m_facts;
    view_function m_view;
    std::set<boost::asio::steady_timer*> m_held; // one for each held question
};

// One question over a new connection. Nothing when the gateway did not answer in time.
boost::asio::awaitable<std::optional<fleet::replication_reply>>
ask_for_facts(boost::asio::any_io_executor executor, boost::asio::ip::tcp::endpoint address,
              fleet::replication_request request, base::duration timeout);

} // namespace carawayway::gateway
