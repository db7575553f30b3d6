// Answers of a server in trouble that no caller may get as an answer.
#include "Tests/gateway_processes/gateway_fleet.hpp"
#include "Tests/support/raw_server.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <atomic>

namespace carawayway::gateway_processes {
namespace {

using test_support::raw_server;

constexpr unsigned bad_gateway = 502;

// One gateway with a server that breaks its answers.
class broken_answer_test : public testing::Test {
protected:
    // Makes it the only server.
    void break_answers(std::string status_line, std::string rest, raw_server::connection_end end) {
        add_broken_server(std::move(status_line), std::move(rest), end);
        m_fleet.deregister_servers();
    }

    // Requests are answered with `status_line`, the headers that belong to an answer, and `rest`.
    void add_broken_server(std::string status_line, std::string rest, raw_server::connection_end end) {
        m_server.emplace(
            [this, status_line = std::move(status_line), rest = std::move(rest)](const std::string& head) {
                const auto usual =
                    fmt::format("Request-Id: {}\r\nResponse-Stamp: s\r\nInstance-Id: i-raw\r\n",
                                raw_server::header(head, "Request-Id"));
                if (!head.starts_with("GET /health ")) {
                    ++m_requests;
                    return status_line + "\r\n" + usual + rest;
                }
                ++m_health_checks;
                return "HTTP/1.1 200 OK\r\n" + usual + m_health_lines + "Content-Length: 2\r\n\r\nok";
            },
            end);
        m_fleet.write_to_store(
            "servers/i-raw",
            fmt::format(
                R"({{"address":"{}","info":{{"service":"orders","version":"1","zone":"a1","slots":64}},)"
                R"("status":{{"state":"ready","seq":1,"coldLeftMs":0}}}})",
                m_server->address()));
    }

    // The status that a caller gets for a booking with a body of this size, once the server has it.
    unsigned book(std::size_t body_bytes) {
        unsigned status = 0;
        EXPECT_TRUE(test_support::wait_until([&] {
            auto request = m_fleet.make_request(0, "POST", "/book/1", gateway_fleet::usual_object);
            request.body().assign(body_bytes, 'u');
            request.prepare_payload();
            status = m_fleet.send_request(0, request).status;
            return m_requests > 0;
        }));
        return status;
    }

    gateway_fleet m_fleet{gateway_fleet::crashing_booking, soak::server_stand_in::end_kind::reset_connections,
                          1};
    std::atomic<int> m_requests = 0; // that reached the server
    std::atomic<int> m_health_checks = 0;
    std::string m_health_lines; // of the answers to health checks, set before break_answers()
    std::optional<raw_server> m_server;
};

// Guards against a part of an answer that is passed on as the whole.
TEST_F(broken_answer_test, the_part_before_a_reset_during_an_upload_is_no_answer) {
    // More than the kernel takes while the server does not read.
    constexpr std::size_t upload_bytes = 24U << 20U;
    break_answers("HTTP/1.1 200 OK", "\r\na part", raw_server::connection_end::reset);
    EXPECT_EQ(book(upload_bytes), bad_gateway);
}

// Guards against a status that is no status, which callers cannot interpret.
TEST_F(broken_answer_test, a_status_that_http_does_not_have_is_no_answer) {
    for (const auto* const status : {"000", "099", "600", "999"}) {
        m_requests = 0;
        break_answers(fmt::format("HTTP/1.1 {} Trouble", status), "Content-Length: 4\r\n\r\nbody",
                      raw_server::connection_end::by_peer);
        EXPECT_EQ(book(0), bad_gateway) << status;
    }
}

// Guards against a line that one recipient takes for the end of the value before it, and another one for a
// field, such as the length of the body.
TEST_F(broken_answer_test, a_head_with_a_malformed_field_name_is_no_answer) {
    for (const std::string line : {"X Y: 1", "X\x01Y: 1", " Content-Length: 4", "\tContent-Length: 4",
                                   "Content-Length : 4", "Content-\tLength: 4", "\x01: 1"}) {
        for (const std::string rest : {"\r\n\r\nbodyHTTP/1.1", "\r\nContent-Length: 4\r\n\r\nbody"}) {
            m_requests = 0;
            break_answers("HTTP/1.1 200 OK", line + rest, raw_server::connection_end::by_peer);
            EXPECT_EQ(book(0), bad_gateway) << line << rest;
        }
    }
}

// Guards against callers that have to ask again for what another server could have answered.
TEST_F(broken_answer_test, a_lookup_is_sent_to_another_server) {
    add_broken_server("HTTP/1.1 000 Trouble", "Content-Length: 4\r\n\r\nbody",
                      raw_server::connection_end::by_peer);
    int lookups = 0;
    EXPECT_TRUE(test_support::wait_until([&] {
        const auto object = std::to_string(++lookups);
        EXPECT_EQ(m_fleet.send(0, "GET", "/read/" + object, object).status, 200U);
        return m_requests > 0;
    }));
}

// Guards against a server that is used again because it has answered a health check in this way.
TEST_F(broken_answer_test, a_head_with_a_malformed_field_name_does_not_pass_a_health_check) {
    m_health_lines = "Server: s\r\n X: 1\r\n";
    break_answers("HTTP/1.1 200 OK", "Content-Length: 4\r\n\r\nb", raw_server::connection_end::reset);
    const auto is_back = [this] { return m_fleet.has_logged(0, "event=server-back"); };
    EXPECT_TRUE(test_support::wait_until([&] {
        book(0);
        return m_health_checks > 1 || is_back();
    }));
    EXPECT_FALSE(is_back());
}

} // namespace
} // namespace carawayway::gateway_processes
