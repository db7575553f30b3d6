// One request at a server that answers well, late, twice, in part or not at all.
#include "carawayway/gateway/server_exchange.hpp"
#include "platform/protocol.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

namespace carawayway::gateway {
namespace {

using boost::asio::ip::tcp;

class server_exchange_test : public testing::Test {
protected:
    using exchange = server_exchange<platform::protocol>;

    // A server that writes `answers`, one for each request that it reads, and closes behind the last one.
    void serve(std::vector<std::string> answers) {
        m_answers = std::move(answers);
        m_acceptor.async_accept([this](boost::system::error_code error, tcp::socket socket) {
            if (!error) {
                m_peer = std::move(socket);
                answer_next();
            }
        });
    }

    void answer_next() {
        m_peer.async_read_some(boost::asio::buffer(m_chunk),
                               [this](boost::system::error_code error, std::size_t) {
                                   if (error) {
                                       return;
                                   }
                                   ++m_requests;
                                   const std::string answer = m_answers.front();
                                   m_answers.erase(m_answers.begin());
                                   boost::asio::write(m_peer, boost::asio::buffer(answer));
                                   if (m_answers.empty()) {
                                       m_peer.close();
                                       return;
                                   }
                                   answer_next();
                               });
    }

    exchange_result send(const std::string& request_id) {
        auto request = std::make_shared<http_request>(http::verb::get, "/", 11);
        request->set(http::field::host, "h");
        request->prepare_payload();
        const exchange_limits limits{std::chrono::seconds{5}, std::chrono::seconds{5}, 1U << 20U};
        auto sent = std::make_shared<exchange>(m_context.get_executor(), m_pool, "i-1",
                                               m_acceptor.local_endpoint(), limits);
        std::optional<exchange_result> result;
        sent->start(request, request_id, [&result](exchange_result ended) { result = std::move(ended); });
        while (!result) {
            m_context.run_one();
        }
        return std::move(*result);
    }

    static std::string answer(const std::string& request_id, const std::string& body) {
        return "HTTP/1.1 200 OK\r\nRequest-Id: " + request_id +
               "\r\nResponse-Stamp: s\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    boost::asio::io_context m_context;
    tcp::acceptor m_acceptor{m_context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)};
    tcp::socket m_peer{m_context};
    backend_pool m_pool;
    std::vector<std::string> m_answers;
    std::array<char, 4096> m_chunk{};
    int m_requests = 0;
};

TEST_F(server_exchange_test, reuses_the_connection) {
    serve({answer("a", "first"), answer("b", "second"), answer("c", "third")});
    const auto first = send("a");
    EXPECT_EQ(first.end, exchange_end::answered);
    EXPECT_FALSE(first.reused_connection);
    const auto second = send("b");
    EXPECT_EQ(second.answer.body(), "second");
    EXPECT_TRUE(second.reused_connection);
}

// Guards against a caller that gets the answer to another request.
TEST_F(server_exchange_test, skips_an_answer_to_another_request) {
    serve({answer("old", "extra") + answer("a", "own"), answer("b", "next")});
    const auto result = send("a");
    EXPECT_EQ(result.end, exchange_end::answered);
    EXPECT_EQ(result.answer.body(), "own");
}

// Guards against bytes behind an answer being taken for the next one.
TEST_F(server_exchange_test, gives_up_a_connection_with_bytes_behind_the_answer) {
    serve({answer("a", "own") + "HTTP/1.1 200 OK\r\n", answer("b", "next")});
    EXPECT_EQ(send("a").end, exchange_end::answered);
    EXPECT_EQ(m_pool.size(), 0U);
}

// Guards against an answer that ends early and looks complete.
TEST_F(server_exchange_test, an_answer_that_is_cut_short_is_broken) {
    const auto whole = answer("a", "a body of some length");
    serve({whole.substr(0, whole.size() - 5)});
    EXPECT_EQ(send("a").end, exchange_end::broken);
}

// Guards against "not run" being said of a request that may have run.
TEST_F(server_exchange_test, a_connection_that_ends_after_the_request_is_unanswered) {
    serve({""});
    EXPECT_EQ(send("a").end, exchange_end::unanswered);
}

TEST_F(server_exchange_test, bytes_that_are_no_answer_are_broken) {
    serve({"\x01\x02 what is this\r\n\r\n"});
    EXPECT_EQ(send("a").end, exchange_end::broken);
}

// Guards against a request that counts as sent although no server was reached.
TEST_F(server_exchange_test, a_port_without_listener_is_not_connected) {
    const auto address = m_acceptor.local_endpoint();
    m_acceptor.close();
    auto request = std::make_shared<http_request>(http::verb::get, "/", 11);
    auto sent =
        std::make_shared<exchange>(m_context.get_executor(), m_pool, "i-1", address,
                                   exchange_limits{std::chrono::seconds{5}, std::chrono::seconds{5}, 1024});
    std::optional<exchange_result> result;
    sent->start(request, "a", [&result](exchange_result ended) { result = std::move(ended); });
    while (!result) {
        m_context.run_one();
    }
    EXPECT_EQ(result->end, exchange_end::not_connected);
    EXPECT_FALSE(sent->was_sent());
}

} // namespace
} // namespace carawayway::gateway
