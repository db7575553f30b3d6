// Guards the parsing of the store's replies: a misread reply would cause a wrong write outcome or a lost
// event.
#include "carawayway/store/etcd_json_codec.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>

namespace carawayway::store::etcd_json {
namespace {

// A valid message of each kind.
constexpr std::array<std::string_view, 5> samples{
    R"({"header":{"revision":"7"},"kvs":[{"key":"YQ==","value":"Yg==","mod_revision":"5"}],"count":"1"})",
    R"({"header":{"revision":"7"},"succeeded":true})", R"({"header":{"revision":"7"},"ID":"12","TTL":"3"})",
    R"({"result":{"header":{"revision":"7"},"ID":"12","TTL":"3"}})",
    R"({"result":{"header":{"revision":"9"},"events":[{"type":"DELETE","kv":{"key":"YQ==","mod_revision":"9"}}]}})"};

void parse_with_all(std::string_view text) {
    base::failure failure;
    parse_range_reply(text, failure);
    parse_transaction_reply(text, failure);
    parse_lease_grant_reply(text, failure);
    parse_lease_keepalive_reply(text, failure);
    parse_watch_message(text, failure);
    error_detail(text);
}

TEST(etcd_json_codec_test, fields_omitted_from_a_reply_have_default_values) {
    base::failure failure;
    EXPECT_EQ(parse_range_reply(samples[0], failure), (range_reply{{{"a", "b", 5}}, 7}));
    EXPECT_EQ(parse_range_reply(R"({"header":{"revision":"7"}})", failure), (range_reply{{}, 7}));
    EXPECT_EQ(parse_transaction_reply(samples[1], failure), (transaction_reply{true, 7}));
    EXPECT_EQ(parse_transaction_reply(R"({"header":{"revision":"7"}})", failure),
              (transaction_reply{false, 7}));
    EXPECT_EQ(parse_lease_grant_reply(samples[2], failure), (lease_reply{12, 3}));
    EXPECT_EQ(parse_lease_keepalive_reply(samples[3], failure), (lease_reply{12, 3}));
    const auto message = parse_watch_message(samples[4], failure);
    ASSERT_TRUE(message.has_value());
    EXPECT_EQ(message->batch, (watch_batch{9, {{watch_event_kind::erased, {"a", "", 9}}}}));
}

TEST(etcd_json_codec_test, an_invalid_reply_is_not_taken_for_a_conflict) {
    base::failure failure;
    for (const char* const text : {"", "{}", "[]", "null", R"({"error":"x"})", R"({"header":1})",
                                   R"({"header":{"revision":"7"},"succeeded":"true"})",
                                   R"({"header":{"revision":"7x"}})", R"({"header":{"revision":"7"}} {})"}) {
        EXPECT_FALSE(parse_transaction_reply(text, failure).has_value()) << text;
    }
}

TEST(etcd_json_codec_test, requests_have_the_documented_form) {
    EXPECT_EQ(range_request("a", ""), R"({"key":"YQ=="})");
    EXPECT_EQ(compare_and_swap_request("a", 0, "b", 0),
              R"({"compare":[{"key":"YQ==","target":"MOD","result":"EQUAL","mod_revision":"0"}],)"
              R"("success":[{"request_put":{"key":"YQ==","value":"Yg=="}}]})");
    EXPECT_EQ(watch_request("a", "b", 3),
              R"({"create_request":{"key":"YQ==","range_end":"Yg==","start_revision":"3"}})");
}

TEST(etcd_json_codec_test, parsers_are_safe_for_arbitrary_bytes) {
    EXPECT_TRUE(rc::check([](const std::string& bytes) { parse_with_all(bytes); }));
}

TEST(etcd_json_codec_test, parsers_are_safe_for_damaged_messages) {
    EXPECT_TRUE(rc::check([] {
        std::string text(samples.at(*rc::gen::inRange<std::size_t>(0, samples.size())));
        const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
        if (*rc::gen::arbitrary<bool>()) {
            text[position] = *rc::gen::arbitrary<char>();
        } else {
            text.erase(position, *rc::gen::inRange<std::size_t>(1, text.size()));
        }
        parse_with_all(text);
    }));
}

} // namespace
} // namespace carawayway::store::etcd_json
