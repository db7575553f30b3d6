// Caller that sends requests one after the other over keep-alive connections to random gateways.
#pragma once

#include "Tests/soak/run_record.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <random>
#include <string>
#include <vector>

namespace carawayway::soak {

class soak_caller {
public:
    // Time limit of each connection attempt and request; well above the timeout of the routes.
    static constexpr std::chrono::milliseconds request_time_limit{6000};
    // How long a request says that its caller waits; below and above the timeout of the routes.
    static constexpr std::chrono::milliseconds shortest_deadline{700};
    static constexpr std::chrono::milliseconds longest_deadline{4000};

    soak_caller(boost::asio::io_context& context, std::vector<boost::asio::ip::tcp::endpoint> gateways,
                run_record& record, std::uint32_t seed);

    void start();
    // Sends no further requests after the one in progress.
    void stop() { m_stopping = true; }
    bool has_ended() const { return m_ended; }

private:
    boost::asio::awaitable<void> send_requests();
    caller_request new_request(std::size_t gateway);

    boost::asio::io_context& m_context;
    std::vector<boost::asio::ip::tcp::endpoint> m_gateways;
    run_record& m_record;
    std::mt19937_64 m_random;
    bool m_stopping = false;
    bool m_ended = false;
};

} // namespace carawayway::soak
