// Caller that sends look-ups over a connection without waiting for the responses, and uses the connection
// until the gateway closes it.
#pragma once

#include "Tests/soak/run_record.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <deque>
#include <memory>
#include <random>
#include <vector>

namespace carawayway::soak {

class soak_pipelining_caller {
public:
    // Time limit of each connection attempt and of the wait for the next response.
    static constexpr std::chrono::milliseconds response_time_limit{6000};
    // How long a request says that its caller waits; longer than the timeout of the routes.
    static constexpr std::chrono::milliseconds deadline{4000};

    soak_pipelining_caller(boost::asio::io_context& context,
                           std::vector<boost::asio::ip::tcp::endpoint> gateways, run_record& record,
                           std::uint32_t seed);

    void start();
    // Sends no further requests.
    void stop() { m_stopping = true; }
    bool has_ended() const { return m_ended; }

private:
    // Requests of one connection that have no response yet, in the order in which they were sent.
    struct connection {
        explicit connection(boost::asio::io_context& context) : stream(context) {}

        boost::beast::tcp_stream stream;
        std::deque<caller_request> in_progress;
        bool is_closed = false;
    };

    boost::asio::awaitable<void> use_connections();
    boost::asio::awaitable<void> send_requests(std::shared_ptr<connection> used, std::size_t gateway);
    boost::asio::awaitable<void> receive_responses(std::shared_ptr<connection> used);
    void record_unanswered(connection& used, caller_request::end end);

    boost::asio::io_context& m_context;
    std::vector<boost::asio::ip::tcp::endpoint> m_gateways;
    run_record& m_record;
    std::mt19937_64 m_random;
    bool m_stopping = false;
    bool m_ended = false;
};

} // namespace carawayway::soak
