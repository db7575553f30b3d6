// A caller's connection: order of answers, refusals, and callers that leave. On loopback, driven by events.
#include "carawayway/gateway/session_listener.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace carawayway::gateway {
namespace {

using boost::asio::ip::tcp;
using testing::HasSubstr;

class caller_session_test : public testing::Test {
protected:
    struct served {
        std::string target;
        answer_function answer;
        bool cancelled = false;
    };

    caller_session_test() {
        m_listener = std::make_unique<session_listener>(
            m_context.get_executor(), free_address(), 16,
            [this](const http_request& request, base::time_point, answer_function answer) {
                auto item = std::make_shared<served>();
                item->target = std::string(request.target());
                item->answer = std::move(answer);
                m_served.push_back(item);
                return [item] { item->cancelled = true; };
            },
            [] {
                return session_limits{4096, 4096, std::chrono::seconds{3}, std::chrono::seconds{15}};
            });
        m_caller.connect(m_address);
    }

    // The port of a listener that was closed again; only this process uses loopback ports in the test.
    tcp::endpoint free_address() {
        tcp::acceptor probe(m_context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
        m_address = probe.local_endpoint();
        return m_address;
    }

    void send(const std::string& text) { boost::asio::write(m_caller, boost::asio::buffer(text)); }

    template <class Condition>
    void run_until(const Condition& condition) {
        while (!condition()) {
            m_context.run_one();
        }
    }

    // Reads what arrives until it holds `part`, or until the gateway closes.
    std::string receive_until(const std::string& part) {
        while (m_received.find(part) == std::string::npos && !m_ended) {
            bool done = false;
            m_caller.async_read_some(boost::asio::buffer(m_chunk),
                                     [&](boost::system::error_code error, std::size_t count) {
                                         m_received.append(m_chunk.data(), count);
                                         m_ended = static_cast<bool>(error);
                                         done = true;
                                     });
            run_until([&done] { return done; });
        }
        return m_received;
    }

    static http_response answer_with(const std::string& body) {
        http_response made{http::status::ok, 11};
        made.body() = body;
        return made;
    }

    static std::string get(const std::string& target) {
        return "GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n";
    }

    boost::asio::io_context m_context;
    tcp::endpoint m_address;
    std::vector<std::shared_ptr<served>> m_served;
    std::unique_ptr<session_listener> m_listener;
    tcp::socket m_caller{m_context};
    std::array<char, 4096> m_chunk{};
    std::string m_received;
    bool m_ended = false;
};

// Guards against an answer that reaches another request of the same connection.
TEST_F(caller_session_test, answers_in_the_order_of_the_requests) {
    send(get("/1") + get("/2"));
    run_until([this] { return m_served.size() == 2; });
    m_served[1]->answer(answer_with("second"));
    m_served[0]->answer(answer_with("first"));
    const auto text = receive_until("second");
    EXPECT_LT(text.find("first"), text.find("second"));
}

// Guards against a request that is smuggled inside another one.
TEST_F(caller_session_test, refuses_a_request_with_two_lengths) {
    send("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET "
         "/2 HTTP/1.1\r\n\r\n");
    EXPECT_THAT(receive_until("400"), HasSubstr("HTTP/1.1 400"));
    receive_until("nothing more");
    EXPECT_TRUE(m_ended);
    EXPECT_TRUE(m_served.empty());
}

// Guards against memory that a caller takes with an endless header.
TEST_F(caller_session_test, refuses_a_header_above_the_limit) {
    send("GET /1 HTTP/1.1\r\nHost: h\r\nLong: " + std::string(5000, 'x') + "\r\n\r\n");
    EXPECT_THAT(receive_until("431"), HasSubstr("HTTP/1.1 431"));
}

TEST_F(caller_session_test, reads_a_body_in_chunks) {
    send("POST /1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
    run_until([this] { return m_served.size() == 1; });
    m_served[0]->answer(answer_with("done"));
    EXPECT_THAT(receive_until("done"), HasSubstr("HTTP/1.1 200"));
}

// Guards against servers that work for callers who have left.
TEST_F(caller_session_test, cancels_the_requests_of_a_caller_that_leaves) {
    send(get("/1"));
    run_until([this] { return m_served.size() == 1; });
    m_caller.close();
    run_until([this] { return m_served[0]->cancelled; });
    run_until([this] { return m_listener->size() == 0; });
}

// Guards against a planned stop that cuts an answer, or leaves the caller on the connection.
TEST_F(caller_session_test, a_stop_answers_first_and_closes_then) {
    send(get("/1"));
    run_until([this] { return m_served.size() == 1; });
    m_listener->stop_after_answers();
    m_listener->close_idle();
    m_served[0]->answer(answer_with("done"));
    const auto text = receive_until("done");
    EXPECT_THAT(text, HasSubstr("Connection: close"));
    receive_until("nothing more");
    EXPECT_TRUE(m_ended);
}

} // namespace
} // namespace carawayway::gateway
