// A caller that sends one request after the other over connections that it keeps open.
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
    // Longest wait for an answer, well above the route's time.
    static constexpr std::chrono::milliseconds patience{6000};

    soak_caller(boost::asio::io_context& context, std::vector<boost::asio::ip::tcp::endpoint> gateways,
                run_record& record, std::uint32_t seed);

    void start();
    // The request in progress is the last one.
    void stop() { m_stopping = true; }
    bool has_ended() const { return m_ended; }

private:
    boost::asio::awaitable<void> run();
    attempt next_attempt(std::size_t gateway);

    boost::asio::io_context& m_context;
    std::vector<boost::asio::ip::tcp::endpoint> m_gateways;
    run_record& m_record;
    std::mt19937_64 m_random;
    bool m_stopping = false;
    bool m_ended = false;
};

} // namespace carawayway::soak
