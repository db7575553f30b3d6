// Tests of the headers by which gateways relay requests.
#include "carawayway/gateway/relay_headers.hpp"

#include <gtest/gtest.h>

namespace carawayway::gateway {
namespace {

const relayed_call call{std::chrono::microseconds{1500}, 1, true, 9};

TEST(relay_headers, a_call_is_written_and_read_back) {
    http::fields headers;
    write_relayed_call(headers, call, "secret");
    EXPECT_EQ(read_relayed_call(headers), call);
}

// Guards against callers that use the relay address themselves.
TEST(relay_headers, only_the_right_key_counts) {
    http::fields headers;
    EXPECT_FALSE(has_relay_key(headers, "secret"));
    EXPECT_FALSE(has_relay_key(headers, "")) << "a gateway without a key takes no request";
    write_relayed_call(headers, call, "secret");
    EXPECT_TRUE(has_relay_key(headers, "secret"));
    EXPECT_FALSE(has_relay_key(headers, "other"));
}

TEST(relay_headers, incomplete_and_unreadable_calls_are_rejected) {
    http::fields headers;
    EXPECT_FALSE(read_relayed_call(headers).has_value());
    write_relayed_call(headers, call, "secret");
    headers.set("Carawayway-Relay-Elapsed-Us", "-1");
    EXPECT_FALSE(read_relayed_call(headers).has_value());
}

TEST(relay_headers, a_verdict_is_written_and_read_back) {
    const relay_verdict failed{base::error_kind::overloaded, ""};
    const relay_verdict answered{std::nullopt, "i-1"};
    for (const auto& verdict : {failed, answered}) {
        http::fields headers;
        write_relay_verdict(headers, verdict);
        EXPECT_EQ(read_relay_verdict(headers), verdict);
    }
}

// Guards against a refusal of a newer version that is taken for the answer of a server.
TEST(relay_headers, an_unknown_failure_may_have_executed_the_request) {
    http::fields headers;
    headers.set("Carawayway-Relay-Failure", "of-a-later-version");
    const auto failure = read_relay_verdict(headers).failure;
    ASSERT_TRUE(failure.has_value());
    EXPECT_EQ(base::properties_of(*failure).execution, base::execution_state::unknown);
}

TEST(relay_headers, none_is_left_for_callers_and_servers) {
    http::fields headers;
    write_relayed_call(headers, call, "secret");
    write_relay_verdict(headers, {base::error_kind::overloaded, "i-1"});
    headers.set(http::field::host, "h");
    remove_relay_headers(headers);
    EXPECT_EQ(std::distance(headers.begin(), headers.end()), 1);
}

} // namespace
} // namespace carawayway::gateway
