// Tests of a single exchange with servers that respond correctly, more than once, incompletely or not at all.
#include "Tests/gateway/server_exchange_fixture.hpp"

namespace carawayway::gateway {
namespace {

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

// Guards against a refusal of an earlier request, repeated late, that is taken for that of a request which
// the server executes.
TEST_F(server_exchange_test, a_repeated_refusal_of_an_earlier_request_is_no_answer) {
    serve({});
    for (const std::string status :
         {"503 Service Unavailable", "429 Too Many Requests", "421 Misdirected Request", "400 Bad Request"}) {
        for (const std::string id_field : {"Request-Id: earlier\r\n", "Request-Id: \r\n", ""}) {
            const auto copy = refusal_with(status, id_field);
            for (const int copies : {1, 2, 3}) {
                std::string bytes;
                for (int index = 0; index < copies; ++index) {
                    bytes += copy;
                }
                const auto answered = send_on_kept_connection("a", bytes + response_with("a", "own"));
                EXPECT_EQ(answered.outcome, exchange_outcome::answered) << copy;
                EXPECT_EQ(answered.response.body(), "own") << copy;
                EXPECT_FALSE(answered.metadata.not_executed) << copy;
                EXPECT_NE(send_on_kept_connection("a", bytes).outcome, exchange_outcome::answered) << copy;
            }
        }
    }
}

// Guards against a request that is sent on a connection on which bytes wait that belong to no request.
TEST_F(server_exchange_test, a_connection_with_unread_bytes_is_not_used_again) {
    for (const auto& bytes : {refusal_with("503 Service Unavailable", "Request-Id: a\r\n"),
                              refusal_with("503 Service Unavailable", ""), std::string("HTTP/1.1 50")}) {
        serve({response_with("a", "one"), response_with("b", "two"), "none"});
        EXPECT_EQ(send("a").outcome, exchange_outcome::answered);
        boost::asio::write(m_peer, boost::asio::buffer(bytes));
        deliver();
        const auto next = send("b");
        EXPECT_EQ(next.response.body(), "two") << bytes;
        EXPECT_FALSE(next.reused_connection) << bytes;
        m_pool.clear();
    }
}

// Guards against an answer that ends within its head and is taken for one without a body.
TEST_F(server_exchange_test, an_answer_that_ends_early_is_no_answer) {
    serve({});
    const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nResponse-Stamp: s\r\n";
    const std::string with_chunks =
        head + "Transfer-Encoding: chunked\r\n\r\nA;x=1\r\n0123456789\r\n0\r\nTrailer-Field: 1\r\n\r\n";
    const std::string with_length = head + "Content-Length: 12\r\n\r\n012345678901";
    const std::string without_body = head + "Content-Length: 0\r\n\r\n";
    const std::string continued = "HTTP/1.1 100 Continue\r\n\r\n" + with_length;
    const std::string behind_extra = response_with("earlier", "body") + with_length;
    for (const bool resets : {false, true}) {
        m_resets = resets;
        for (const auto& whole : {with_chunks, with_length, without_body, continued, behind_extra}) {
            for (std::size_t size = 1; size < whole.size(); ++size) {
                const auto cut = whole.substr(0, size);
                EXPECT_NE(send_on_kept_connection("a", cut).outcome, exchange_outcome::answered) << cut;
            }
        }
    }
    m_resets = false;
    for (const auto& whole : {with_chunks, with_length, without_body, continued, behind_extra}) {
        EXPECT_EQ(send_on_kept_connection("a", whole).outcome, exchange_outcome::answered) << whole;
    }
}

// Guards against taking an answer without a length for whole when its connection does not end in order.
TEST_F(server_exchange_test, an_answer_without_length_ends_with_its_connection) {
    serve({});
    const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nResponse-Stamp: s\r\n";
    const auto whole = send_on_kept_connection("a", head + "\r\nbody");
    EXPECT_EQ(whole.outcome, exchange_outcome::answered);
    EXPECT_EQ(whole.response.body(), "body");
    for (std::size_t size = 1; size < head.size() + 2; ++size) {
        const auto cut = (head + "\r\n").substr(0, size);
        EXPECT_NE(send_on_kept_connection("a", cut).outcome, exchange_outcome::answered) << cut;
    }
    m_resets = true;
    EXPECT_NE(send_on_kept_connection("a", head + "\r\nbody").outcome, exchange_outcome::answered);
    EXPECT_NE(send_on_kept_connection("a", head + "\r\n").outcome, exchange_outcome::answered);
}

// Guards against the same for the answers of gateways that relay requests.
TEST_F(server_exchange_test, a_relayed_answer_that_ends_early_is_no_answer) {
    m_sends_to_gateway = true;
    serve({});
    const auto whole = response_with("a", "a body of some length");
    for (std::size_t size = 1; size < whole.size(); ++size) {
        const auto cut = whole.substr(0, size);
        EXPECT_NE(send_on_kept_connection("a", cut).outcome, exchange_outcome::answered) << cut;
    }
    EXPECT_EQ(send_on_kept_connection("a", whole).outcome, exchange_outcome::answered);
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

// Guards against a gateway that is killed because it buffers an answer that has ended its body and goes on.
TEST_F(server_exchange_test, an_answer_whose_framing_never_ends_is_given_up) {
    const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nResponse-Stamp: s\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n";
    const std::string small_chunks = "1;x=" + std::string(1000, 'x') + "\r\nA\r\n";
    const std::vector<std::pair<std::string, std::string>> answers{
        {head + "0\r\nX: ", std::string(64U << 10U, 'x')},   // trailer
        {head + "0\r\n", "X: 1\r\n"},                        // fields of the trailer
        {head + "0;x=", std::string(64U << 10U, 'x')},       // extension of the last chunk
        {head + "1;x=", std::string(64U << 10U, 'x')},       // extension of a chunk
        {head, small_chunks},                                // extensions of many chunks
        {head + "1\r\nA\r\n", std::string(64U << 10U, '0')}, // size of a chunk
    };
    for (const auto& [begin, part] : answers) {
        m_pool.clear();
        m_endless_bytes = 0;
        m_endless_part = part;
        serve({begin});
        EXPECT_EQ(send("a").outcome, exchange_outcome::broken) << begin;
        EXPECT_LT(m_endless_bytes, socket_buffer_bytes) << begin;
        m_peer.close();
    }
}

// Guards against bodies that go on without end, each within its own limit.
TEST_F(server_exchange_test, a_body_beyond_the_memory_of_all_responses_is_given_up) {
    m_memory = message_memory(1U << 20U);
    const std::string large((1U << 20U) * 7 / 10, 'x');
    serve({response_with("a", large), response_with("b", large), response_with("c", large), {}});
    {
        const auto first = send("a");
        EXPECT_EQ(first.outcome, exchange_outcome::answered);
        EXPECT_EQ(send("b").outcome, exchange_outcome::broken) << "while the first one is held";
    }
    EXPECT_EQ(m_memory.used_bytes(), 0U);
    EXPECT_EQ(send("c").outcome, exchange_outcome::answered) << "the memory is returned";
}

// Guards against a body that is copied for each attempt.
TEST_F(server_exchange_test, a_request_keeps_its_headers_and_its_body) {
    serve({response_with("a", "one")});
    auto request = std::make_shared<http_request>(http::verb::post, "/", 11);
    request->body() = "the body";
    request->prepare_payload();
    const auto sent = send_request(request, "a");
    EXPECT_EQ(sent.outcome, exchange_outcome::answered);
    EXPECT_TRUE(m_last_request.ends_with("\r\n\r\nthe body")) << m_last_request;
    EXPECT_NE(m_last_request.find("Target-Instance: i-1"), std::string::npos) << m_last_request;
    EXPECT_EQ(request->count("Target-Instance"), 0U) << "each attempt has headers of its own";
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
