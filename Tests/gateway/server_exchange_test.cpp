// Tests of a single exchange with servers that respond correctly, more than once, incompletely or not at all.
#include "carawayway/gateway/server_exchange.hpp"
#include "platform/protocol.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <thread>

namespace carawayway::gateway {
namespace {

using boost::asio::ip::tcp;

class server_exchange_test : public testing::Test {
protected:
    using exchange = server_exchange<platform::protocol>;

    server_exchange_test() {
        fleet::server_registration registration;
        registration.id = "i-1";
        m_servers.put(registration, base::monotonic_now());
        m_server = m_servers.find("i-1");
    }

    // Starts a server that writes one of `responses` per request, and closes the connection after the last.
    void serve(std::vector<std::string> responses) {
        m_responses = std::move(responses);
        accept_next();
    }

    void accept_next() {
        m_acceptor.async_accept([this](boost::system::error_code error, tcp::socket socket) {
            if (!error) {
                m_peer = std::move(socket);
                accept_next();
                respond_next();
            }
        });
    }

    void respond_next() {
        m_peer.async_read_some(boost::asio::buffer(m_chunk),
                               [this](boost::system::error_code error, std::size_t size) {
                                   if (error) {
                                       return;
                                   }
                                   m_last_request.assign(m_chunk.data(), size);
                                   ++m_requests;
                                   const std::string response = m_responses.front();
                                   m_responses.erase(m_responses.begin());
                                   boost::asio::write(m_peer, boost::asio::buffer(response));
                                   if (m_responses.empty()) {
                                       m_peer.close();
                                       return;
                                   }
                                   respond_next();
                               });
    }

    // The outcome of a request with this ID on a connection that has carried one other request with its
    // response. The server writes `bytes` and closes the connection.
    exchange_result send_on_kept_connection(const std::string& request_id, const std::string& bytes) {
        m_pool.clear();
        m_responses.clear();
        m_peer.close();
        m_responses = {response_with("earlier", "first"), bytes};
        EXPECT_EQ(send("earlier").outcome, exchange_outcome::answered);
        auto result = send(request_id);
        EXPECT_TRUE(result.reused_connection);
        return result;
    }

    static constexpr std::chrono::milliseconds time_left{5000}; // until the deadline of a request

    // Runs the event loop only after `delay`.
    exchange_result send(const std::string& request_id, std::chrono::milliseconds delay = {}) {
        auto request = std::make_shared<http_request>(http::verb::get, "/", 11);
        request->set(http::field::host, "h");
        request->prepare_payload();
        const exchange_limits limits{std::chrono::seconds{5}, std::chrono::seconds{5}, 1U << 20U};
        const server_call<platform::protocol> call{base::monotonic_now() + time_left, m_servers, m_server};
        auto sent = std::make_shared<exchange>(m_context.get_executor(), m_pool, m_memory, "i-1",
                                               m_acceptor.local_endpoint(), limits, call);
        std::optional<exchange_result> result;
        sent->start(request, request_id,
                    [&result](exchange_result completed) { result = std::move(completed); });
        std::this_thread::sleep_for(delay);
        while (!result) {
            m_context.run_one();
        }
        return std::move(*result);
    }

    static std::string response_with(const std::string& request_id, const std::string& body) {
        return "HTTP/1.1 200 OK\r\nRequest-Id: " + request_id +
               "\r\nResponse-Stamp: s\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    // `id_field` is the line with the request ID, or empty.
    static std::string refusal_with(const std::string& status_line, const std::string& id_field) {
        return "HTTP/1.1 " + status_line + "\r\n" + id_field +
               "Not-Executed: 1\r\nServer-Load: 12,3,8\r\nContent-Length: 0\r\n\r\n";
    }

    boost::asio::io_context m_context;
    tcp::acceptor m_acceptor{m_context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)};
    tcp::socket m_peer{m_context};
    placement::server_table m_servers{{"g", "a", "r", {{"a", "r"}}}, {}};
    placement::server_handle m_server;
    backend_pool m_pool;
    response_memory m_memory;
    std::vector<std::string> m_responses;
    std::array<char, 4096> m_chunk{};
    std::string m_last_request;
    int m_requests = 0;
};

TEST_F(server_exchange_test, reuses_connection) {
    serve({response_with("a", "first"), response_with("b", "second"), response_with("c", "third")});
    const auto first = send("a");
    EXPECT_EQ(first.outcome, exchange_outcome::answered);
    EXPECT_FALSE(first.reused_connection);
    const auto second = send("b");
    EXPECT_EQ(second.response.body(), "second");
    EXPECT_TRUE(second.reused_connection);
}

// Guards against forwarding the response to another request, which a server may send on a reused connection.
TEST_F(server_exchange_test, skips_response_to_another_request) {
    serve({response_with("old", "extra") + response_with("a", "own"), response_with("b", "next")});
    const auto result = send("a");
    EXPECT_EQ(result.outcome, exchange_outcome::answered);
    EXPECT_EQ(result.response.body(), "own");
}

// Guards against surplus bytes after a response that are read as the start of the next response.
TEST_F(server_exchange_test, closes_connection_with_bytes_after_response) {
    serve({response_with("a", "own") + "HTTP/1.1 200 OK\r\n", response_with("b", "next")});
    EXPECT_EQ(send("a").outcome, exchange_outcome::answered);
    EXPECT_EQ(m_pool.size(), 0U);
}

// Guards against a truncated response that is treated as complete.
TEST_F(server_exchange_test, truncated_response_is_broken) {
    const auto whole = response_with("a", "a body of some length");
    serve({whole.substr(0, whole.size() - 5)});
    EXPECT_EQ(send("a").outcome, exchange_outcome::broken);
}

// Guards against reading a copy of an earlier refusal that breaks off, and the answer behind it, as one.
TEST_F(server_exchange_test, a_refusal_that_breaks_off_before_an_answer_does_not_refuse_the_request) {
    serve({});
    for (const std::string status : {"503 Service Unavailable", "421 Misdirected Request"}) {
        for (const std::string id_field : {"Request-Id: earlier\r\n", ""}) {
            const auto copy = refusal_with(status, id_field);
            for (std::size_t size = 1; size < copy.size(); ++size) {
                const auto begin = copy.substr(0, size);
                EXPECT_NE(send_on_kept_connection("a", begin + response_with("a", "own")).outcome,
                          exchange_outcome::answered)
                    << begin;
            }
        }
    }
}

// Guards against the same for any other answer that breaks off before the own one.
TEST_F(server_exchange_test, an_answer_that_breaks_off_before_an_answer_does_not_replace_it) {
    serve({});
    const auto extra = response_with("earlier", "body");
    const std::string own = "HTTP/1.1 500 Internal Server Error\r\nRequest-Id: a\r\n"
                            "Response-Stamp: s\r\nContent-Length: 0\r\n\r\n";
    for (std::size_t size = 1; size < extra.size(); ++size) {
        const auto begin = extra.substr(0, size);
        EXPECT_NE(send_on_kept_connection("a", begin + own).outcome, exchange_outcome::answered) << begin;
    }
}

// Guards against giving up an answer for text in it that only resembles a second answer.
TEST_F(server_exchange_test, an_answer_may_name_the_protocol) {
    for (const std::string fields : {"Via: HTTP/1.1 cache-7\r\n", "Upgrade: HTTP/1.1\r\n",
                                     "Server: HTTP/1.1  200\r\n", "X: HTTP/1. 200\r\n"}) {
        serve(
            {"HTTP/1.1 200 OK\r\nRequest-Id: a\r\n" + fields + "Content-Length: 15\r\n\r\nHTTP/1.1 200 OK"});
        EXPECT_EQ(send("a").outcome, exchange_outcome::answered) << fields;
    }
}

// Guards against taking the answer to another request for that to one without an ID.
TEST_F(server_exchange_test, a_request_without_id_shares_its_connection_with_no_other) {
    serve({refusal_with("400 Bad Request", ""), response_with("", "own"), "none"});
    EXPECT_TRUE(send("").metadata.not_executed);
    EXPECT_EQ(m_pool.size(), 0U);
    const auto next = send("");
    EXPECT_EQ(next.response.body(), "own");
    EXPECT_FALSE(next.reused_connection);
}

// Guards against the further use of a connection whose server is out of step with the requests.
TEST_F(server_exchange_test, a_connection_with_a_response_to_another_request_is_not_used_again) {
    serve(
        {response_with("earlier", "extra") + response_with("a", "own"), response_with("b", "next"), "none"});
    EXPECT_EQ(send("a").response.body(), "own");
    EXPECT_EQ(m_pool.size(), 0U);
    const auto next = send("b");
    EXPECT_EQ(next.response.body(), "next");
    EXPECT_FALSE(next.reused_connection);
}

// Guards against reporting "not executed" for a request that the server may have executed.
TEST_F(server_exchange_test, connection_closed_after_request_is_unanswered) {
    serve({""});
    EXPECT_EQ(send("a").outcome, exchange_outcome::unanswered);
}

// Guards against a server that works on after its caller has left, because it is given the time that was left
// before a slow connect.
TEST_F(server_exchange_test, time_left_is_that_of_the_moment_of_sending) {
    constexpr std::chrono::milliseconds delay{200};
    serve({response_with("a", "own")});
    EXPECT_EQ(send("a", delay).outcome, exchange_outcome::answered);
    const std::string header = "Deadline-Ms: ";
    const auto begin = m_last_request.find(header);
    ASSERT_NE(begin, std::string::npos) << m_last_request;
    EXPECT_LE(std::stoll(m_last_request.substr(begin + header.size())), (time_left - delay).count());
}

TEST_F(server_exchange_test, non_http_bytes_are_broken) {
    serve({"\x01\x02 what is this\r\n\r\n"});
    EXPECT_EQ(send("a").outcome, exchange_outcome::broken);
}

// Guards against a head that goes on without end.
TEST_F(server_exchange_test, a_head_without_end_is_given_up) {
    serve({"HTTP/1.1 200 OK\r\nX: " + std::string(64U << 10U, 'x')});
    EXPECT_EQ(send("a").outcome, exchange_outcome::broken);
}

// Guards against bodies that go on without end, each within its own limit.
TEST_F(server_exchange_test, a_body_beyond_the_memory_of_all_responses_is_given_up) {
    m_memory = response_memory(1000);
    const std::string large(response_memory::own_bytes + 1000, 'x');
    serve({response_with("a", large), response_with("b", large + "x"), {}});
    EXPECT_EQ(send("a").outcome, exchange_outcome::answered);
    EXPECT_EQ(send("b").outcome, exchange_outcome::broken);
    response_memory::reservation next(m_memory);
    EXPECT_TRUE(next.try_resize(response_memory::own_bytes + 1000)) << "the memory is returned";
}

TEST(response_memory_test, responses_share_a_pool_beyond_what_each_may_use) {
    const response_memory memory(1000);
    response_memory::reservation first(memory);
    response_memory::reservation second(memory);
    EXPECT_TRUE(first.try_resize(response_memory::own_bytes + 700));
    EXPECT_FALSE(second.try_resize(response_memory::own_bytes + 301));
    EXPECT_TRUE(second.try_resize(response_memory::own_bytes)) << "needs nothing of the pool";
    EXPECT_TRUE(second.try_resize(response_memory::own_bytes + 300));
    EXPECT_FALSE(first.try_resize(response_memory::own_bytes + 701));
}

// Guards against requests that reach a server for which they had to wait while it asked for rest.
TEST_F(server_exchange_test, a_request_is_withheld_from_a_server_that_rests) {
    serve({response_with("a", "one"), response_with("b", "two")});
    m_servers.record_rest(*m_server, std::chrono::seconds{10}, base::monotonic_now());
    EXPECT_EQ(send("a").outcome, exchange_outcome::withheld);
    EXPECT_EQ(m_requests, 0);
    EXPECT_EQ(m_pool.size(), 1U) << "the connection can be used later";
}

// Guards against counting a request as sent although no server was reached.
TEST_F(server_exchange_test, refused_connection_is_not_connected) {
    const auto address = m_acceptor.local_endpoint();
    m_acceptor.close();
    auto request = std::make_shared<http_request>(http::verb::get, "/", 11);
    const exchange_limits limits{std::chrono::seconds{5}, std::chrono::seconds{5}, 1024};
    const server_call<platform::protocol> call{base::monotonic_now() + time_left, m_servers, m_server};
    auto sent =
        std::make_shared<exchange>(m_context.get_executor(), m_pool, m_memory, "i-1", address, limits, call);
    std::optional<exchange_result> result;
    sent->start(request, "a", [&result](exchange_result completed) { result = std::move(completed); });
    while (!result) {
        m_context.run_one();
    }
    EXPECT_EQ(result->outcome, exchange_outcome::not_connected);
    EXPECT_FALSE(sent->was_sent());
}

} // namespace
} // namespace carawayway::gateway
