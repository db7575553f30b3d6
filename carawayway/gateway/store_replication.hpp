// Replication of store records between gateways: the server and the client call.
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

// Listens for the lifetime of the object and answers requests from `replica`. A long-poll request waits for
// changes while this gateway watches the store itself.
class replication_server {
public:
    // Upper limit for the wait of a long-poll request, whatever the request allows.
    static constexpr base::duration maximum_wait = std::chrono::seconds{2};

    // Whether the sender watches the store successfully; part of each reply.
    struct watch_status {
        bool watches_store = false;
        base::duration time_since_failure{}; // since the last failed store call; zero during an outage

        bool operator==(const watch_status&) const = default;
    };
    using watch_status_function = std::function<watch_status()>;

    // Throws boost::system::system_error when the address cannot be bound.
    replication_server(const boost::asio::any_io_executor& executor,
                       const boost::asio::ip::tcp::endpoint& address, const fleet::store_replica& replica,
                       watch_status_function status);

    boost::asio::ip::tcp::endpoint endpoint() const { return m_acceptor->local_endpoint(); }

    // Answers the waiting requests, since records or the watch status have changed.
    void notify();

    void close();

private:
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
    // What has changed since the revision that the other gateway knows.
    std::string encoded_reply(fleet::store_revision known) const;
    boost::asio::awaitable<void> wait_for_changes(const fleet::replication_request& request);

    std::shared_ptr<boost::asio::ip::tcp::acceptor> m_acceptor;
    const fleet::store_replica& m_replica;
    watch_status_function m_watch_status;
    std::set<boost::asio::steady_timer*> m_waiting_requests; // one timer for each waiting request
    // Requests that are being served; outlives this object in their coroutines.
    std::shared_ptr<std::size_t> m_requests = std::make_shared<std::size_t>(0);
};

// Sends one request over a new connection. Returns nothing when the gateway does not answer in time.
boost::asio::awaitable<std::optional<fleet::replication_reply>>
request_records(boost::asio::any_io_executor executor, boost::asio::ip::tcp::endpoint address,
                fleet::replication_request request, base::duration timeout);

} // namespace carawayway::gateway
