// Guards against a server that ended being taken for one that lost a connection, and the reverse: the first
// lets content crash servers without end, the second quarantines harmless content.
#include "carawayway/gateway/server_liveness.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <vector>

namespace carawayway::gateway {
namespace {

using boost::asio::ip::tcp;

class server_liveness_test : public testing::Test {
protected:
    bool has_ended() {
        std::optional<bool> result;
        boost::asio::co_spawn(m_context,
                              has_server_ended(m_context.get_executor(), m_address, std::chrono::seconds{5}),
                              [&result](const std::exception_ptr&, bool ended) { result = ended; });
        while (!result) {
            m_context.run_one();
        }
        return *result;
    }

    boost::asio::io_context m_context;
    tcp::acceptor m_acceptor{m_context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)};
    tcp::endpoint m_address = m_acceptor.local_endpoint();
};

// Guards against a partition that is assumed because one of several servers has ended.
TEST_F(server_liveness_test, one_of_several_targets_that_accepts_a_connection_is_enough) {
    const auto any_accepts = [this](const std::vector<tcp::endpoint>& addresses) {
        std::vector<connection_target> targets;
        std::transform(addresses.begin(), addresses.end(), std::back_inserter(targets),
                       [](const tcp::endpoint& address) {
                           return connection_target{address, std::chrono::seconds{5}};
                       });
        m_context.restart();
        std::optional<bool> result;
        boost::asio::co_spawn(m_context, any_accepts_connection(m_context.get_executor(), targets),
                              [&result](const std::exception_ptr&, bool accepts) { result = accepts; });
        while (!result) {
            m_context.run_one();
        }
        return *result;
    };
    tcp::acceptor closed{m_context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)};
    const auto refusing = closed.local_endpoint();
    closed.close();
    EXPECT_TRUE(any_accepts({refusing, m_address, refusing}));
    EXPECT_FALSE(any_accepts({refusing, refusing}));
    EXPECT_FALSE(any_accepts({}));
}

TEST_F(server_liveness_test, a_server_that_takes_connections_has_not_ended) {
    EXPECT_FALSE(has_ended());
}

TEST_F(server_liveness_test, a_server_that_refuses_connections_has_ended) {
    m_acceptor.close();
    EXPECT_TRUE(has_ended());
}

// The kernel closes the connections of an ending process before or after its listening socket.
TEST_F(server_liveness_test, a_server_that_stops_listening_after_the_first_question_has_ended) {
    m_acceptor.async_accept([this](boost::system::error_code, const tcp::socket&) { m_acceptor.close(); });
    EXPECT_TRUE(has_ended());
}

} // namespace
} // namespace carawayway::gateway
