// Tests the HTTP listener for operators over a socket: authorization, content types, body limit, and the
// pages that need no token.
#include "Tests/stand_ins/http_client.hpp"
#include "carawayway/entry/operator_service.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <gtest/gtest.h>

#include <thread>

namespace carawayway::entry {
namespace {

using stand_ins::test::headers;

class operator_service_test : public testing::Test {
protected:
    operator_service_test() : m_thread([this] { m_context.run(); }) {}

    ~operator_service_test() override {
        m_context.stop();
        m_thread.join();
    }

    operator_service_test(const operator_service_test&) = delete;
    operator_service_test& operator=(const operator_service_test&) = delete;
    operator_service_test(operator_service_test&&) = delete;
    operator_service_test& operator=(operator_service_test&&) = delete;

    // Starts a service with the token and returns its address.
    std::string serve(const std::string& token) {
        // Answers every query in place of the steering thread.
        const auto answer = [this](const control_event& event) {
            boost::asio::post(m_context, [this, event] {
                if (const auto* asked = std::get_if<status_requested>(&event)) {
                    engine::status_report report;
                    report.entry = "north-1";
                    report.not_ready_reason = m_not_ready_reason;
                    m_service->deliver(status_ready{asked->token, std::move(report)});
                } else if (const auto* metrics = std::get_if<metrics_requested>(&event)) {
                    m_service->deliver(metrics_ready{metrics->token, "carawayway_queued 1\n"});
                }
            });
        };
        m_service.emplace(m_context, m_store, config::instance_settings{}, token, answer);
        base::failure failure;
        EXPECT_TRUE(m_service->listen({"127.0.0.1", 0}, failure)) << failure.detail;
        return "127.0.0.1:" + std::to_string(m_service->listening_address().port);
    }

    static stand_ins::test::http_reply post(const std::string& address, const std::string& target,
                                            const std::string& body, const headers& fields) {
        stand_ins::test::http_client client(address);
        return client.exchange(target, body, fields);
    }

    std::optional<std::string> m_not_ready_reason;

private:
    boost::asio::io_context m_context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work{m_context.get_executor()};
    store::etcd_json_store m_store{m_context.get_executor(), {}};
    std::optional<operator_service> m_service;
    std::thread m_thread;
};

TEST_F(operator_service_test, a_wrong_or_missing_token_is_refused) {
    const auto address = serve("secret");
    for (const auto& fields : {headers{}, headers{{"Authorization", "Bearer wrong"}},
                               headers{{"Authorization", "Bearer "}}, headers{{"Authorization", "secret"}}}) {
        const auto reply = post(address, "/v1/Status", "{}", fields);
        EXPECT_EQ(reply.status, 401U);
        EXPECT_NE(reply.body.find("\"kind\":\"unauthorized\""), std::string::npos) << reply.body;
    }
    EXPECT_EQ(post(address, "/v1/Status", "{}", {{"Authorization", "Bearer secret"}}).status, 200U);
}

TEST_F(operator_service_test, without_a_configured_token_calls_are_refused_and_pages_are_served) {
    const auto address = serve("");
    EXPECT_EQ(post(address, "/v1/Status", "{}", {{"Authorization", "Bearer "}}).status, 401U);
    EXPECT_EQ(post(address, "/health", "", {}).status, 200U);
    EXPECT_EQ(post(address, "/ready", "", {}).status, 200U);
    EXPECT_EQ(post(address, "/metrics", "", {}).body, "carawayway_queued 1\n");
}

TEST_F(operator_service_test, an_entry_instance_without_a_policy_is_not_ready) {
    m_not_ready_reason = "no policy";
    const auto reply = post(serve("secret"), "/ready", "", {});
    EXPECT_EQ(reply.status, 503U);
    EXPECT_NE(reply.body.find("no policy"), std::string::npos) << reply.body;
}

TEST_F(operator_service_test, bodies_are_accepted_in_two_content_types_and_up_to_the_size_limit) {
    const auto address = serve("secret");
    const auto status_of = [&](const std::string& type, const std::string& body) {
        return post(address, "/v1/Status", body, {{"Authorization", "Bearer secret"}, {"Content-Type", type}})
            .status;
    };
    EXPECT_EQ(status_of("application/json; charset=utf-8", "{}"), 200U);
    EXPECT_EQ(status_of("application/octet-stream", "{}"), 400U);
    EXPECT_EQ(status_of("text/plain", "{}"), 400U);
    EXPECT_EQ(status_of("application/json", R"({"unknown":1})"), 400U);
    EXPECT_EQ(status_of("application/json", std::string((1U << 20U) + 1, ' ')), 413U);
}

} // namespace
} // namespace carawayway::entry
