// Facts from other gateways while the store does not answer this one, and the answers to gateways that ask.
#pragma once

#include "carawayway/base/time.hpp"
#include "carawayway/fleet/relay_codec.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <optional>

namespace carawayway::gateway {

// Listens for the lifetime of the object and answers from `facts`.
class fact_relay_server {
public:
    // Throws boost::system::system_error when the address cannot be bound.
    fact_relay_server(const boost::asio::any_io_executor& executor,
                      const boost::asio::ip::tcp::endpoint& address, const fleet::fact_log& facts);

    void close();

private:
    boost::asio::awaitable<void> accept();
    static boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket,
                                              const fleet::fact_log& facts);

    std::shared_ptr<boost::asio::ip::tcp::acceptor> m_acceptor;
    const fleet::fact_log& m_facts;
};

// One question over a new connection. Nothing when the gateway did not answer in time.
boost::asio::awaitable<std::optional<fleet::fact_reply>> ask_for_facts(boost::asio::any_io_executor executor,
                                                                       boost::asio::ip::tcp::endpoint address,
                                                                       fleet::fact_request request,
                                                                       base::duration timeout);

} // namespace carawayway::gateway
