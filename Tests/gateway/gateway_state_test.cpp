// Tests of what answers tell of the rate limit of a server.
#include "carawayway/gateway/gateway_state.hpp"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

namespace carawayway::gateway {
namespace {

using namespace std::chrono_literals;

constexpr base::time_point start{std::chrono::hours{1}};

class rate_limit_answers_test : public testing::Test {
protected:
    rate_limit_answers_test() { m_server.registration.id = "i-1"; }

    void answer(const response_metadata& metadata, answer_verdict verdict = answer_verdict::good) {
        m_state.record_rate_limit(m_server, metadata, verdict, m_now, m_now);
        m_now += 1s;
    }

    bool is_limited() { return m_state.servers.rate_limits().is_limited("i-1", m_now); }

    static response_metadata naming(std::optional<double> limit) {
        response_metadata metadata;
        metadata.names_rate_limit = true;
        metadata.request_rate_limit = limit;
        return metadata;
    }

    boost::asio::io_context m_context;
    int m_limit_changes = 0;
    gateway_state m_state{m_context.get_executor(),
                          {"g", "a", "r", {{"a", "r"}}},
                          platform_bounds{},
                          64U << 20U,
                          [](const steering::crash_count&) {},
                          [](std::uint64_t) {},
                          [this] { ++m_limit_changes; }};
    placement::server_state m_server;
    base::time_point m_now = start;
};

TEST_F(rate_limit_answers_test, a_limit_counts_from_the_answer_that_names_it_to_the_one_that_does_not) {
    answer({});
    EXPECT_FALSE(is_limited());
    answer(naming(7.0));
    answer(naming(7.0));
    EXPECT_TRUE(is_limited());
    EXPECT_EQ(m_limit_changes, 1);
    answer({});
    EXPECT_FALSE(is_limited());
    EXPECT_EQ(m_limit_changes, 2) << "the end is passed on";
}

TEST_F(rate_limit_answers_test, a_refusal_can_name_a_limit) {
    auto refusal = naming(7.0);
    refusal.not_executed = true;
    answer(refusal, answer_verdict::failed);
    EXPECT_TRUE(is_limited());
}

// Guards against a limit that is given up too early, because an error, the answer of another server at the
// address or an unreadable header is taken for its end.
TEST_F(rate_limit_answers_test, only_a_good_answer_without_a_limit_ends_it) {
    answer(naming(7.0));
    answer({}, answer_verdict::failed);
    EXPECT_TRUE(is_limited());
    response_metadata other;
    other.other_server = true;
    answer(other);
    EXPECT_TRUE(is_limited());
    answer(naming(std::nullopt));
    EXPECT_TRUE(is_limited());
}

// Guards against a limit that the server now at the address has named for itself.
TEST_F(rate_limit_answers_test, another_server_at_the_address_limits_only_itself) {
    auto other = naming(7.0);
    other.other_server = true;
    answer(other, answer_verdict::failed);
    EXPECT_FALSE(is_limited());
}

} // namespace
} // namespace carawayway::gateway
