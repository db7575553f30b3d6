// Tests of exchanges with servers and gateways whose answers must not reach a caller.
#include "Tests/gateway/server_exchange_fixture.hpp"

namespace carawayway::gateway {
namespace {

// Guards against taking a part for the whole when the pending write of the request is told of the reset, so
// that the read finds nothing but the end of the input.
TEST_F(server_exchange_test, an_answer_without_length_does_not_end_with_a_reset_during_an_upload) {
    const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nResponse-Stamp: s\r\n\r\n";
    m_body.assign(upload_bytes, 'u');
    for (const bool sends_to_gateway : {false, true}) {
        m_sends_to_gateway = sends_to_gateway;
        for (const bool resets : {false, true}) { // the kernel resets a connection that is closed unread
            m_resets = resets;
            for (const auto& part : {head, head + "a part", head + std::string(100'000, 'x')}) {
                serve({part});
                EXPECT_EQ(send("a").outcome, exchange_outcome::broken) << part.size() << " bytes";
            }
        }
    }
}

// Guards against giving up an answer that has ended before the rest of its request was refused.
TEST_F(server_exchange_test, an_answer_that_has_ended_before_a_reset_during_an_upload_is_whole) {
    m_body.assign(upload_bytes, 'u');
    m_resets = true;
    serve({response_with("a", "body")});
    EXPECT_EQ(send("a").response.body(), "body");
    m_shuts_down = true;
    serve({"HTTP/1.1 413 Content Too Large\r\nRequest-Id: a\r\n\r\nbody"});
    const auto ended = send("a");
    EXPECT_EQ(ended.outcome, exchange_outcome::answered);
    EXPECT_EQ(ended.response.body(), "body");
}

// Guards against a status that no caller can interpret, of servers and of gateways that relay requests.
TEST_F(server_exchange_test, an_answer_with_a_status_that_http_does_not_have_is_broken) {
    for (const bool sends_to_gateway : {false, true}) {
        m_sends_to_gateway = sends_to_gateway;
        for (const std::string status : {"000", "099", "600", "999"}) {
            const auto broken = "HTTP/1.1 " + status +
                                " Trouble\r\nRequest-Id: a\r\nResponse-Stamp: s\r\n"
                                "Content-Length: 4\r\n\r\nbody";
            serve({broken});
            EXPECT_EQ(send("a").outcome, exchange_outcome::broken) << status;
            serve({broken + response_with("a", "extra")});
            EXPECT_EQ(send("a").outcome, exchange_outcome::broken) << status;
        }
    }
}

// Guards against a body that lasts until the connection ends, because the line with its length is taken for a
// part of another field.
TEST_F(server_exchange_test, an_answer_with_a_malformed_field_name_is_broken) {
    for (const bool sends_to_gateway : {false, true}) {
        m_sends_to_gateway = sends_to_gateway;
        for (const std::string line : {" Content-Length: 4", "\tContent-Length: 4", "Content-Length : 4",
                                       "Content-Len gth: 4", "Content-Length\x01: 4"}) {
            serve({"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nResponse-Stamp: s\r\n" + line +
                   "\r\n\r\nbody and more"});
            EXPECT_EQ(send("a").outcome, exchange_outcome::broken) << line;
            serve({"HTTP/1.1 103 Early Hints\r\nServer: s\r\n" + line + "\r\n\r\n" +
                   response_with("a", "own")});
            EXPECT_EQ(send("a").outcome, exchange_outcome::broken) << line;
        }
    }
}

} // namespace
} // namespace carawayway::gateway
