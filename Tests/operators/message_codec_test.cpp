// Guards the calls' codec against bytes that crash it, and against fields that are silently ignored.
#include "Tests/operators/editor_fixture.hpp"
#include "carawayway/operators/message_codec.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace carawayway::operators {
namespace {

using enum message_encoding;

// Decodes as each kind of request; what is accepted must encode again.
void decode_as_everything(const std::string& bytes, message_encoding encoding) {
    const auto try_as = [&]<class Message>(const Message&) {
        base::failure failure;
        const auto message = decode<Message>(bytes, encoding, failure);
        if (message) {
            RC_ASSERT(encode(*message, json, failure).has_value());
        } else {
            RC_ASSERT(failure.kind == base::error_kind::request_invalid);
        }
    };
    try_as(apply_policy_request{});
    try_as(get_policy_request{});
    try_as(drain_request{});
    try_as(set_shift_cap_request{});
    try_as(explain_request{});
    try_as(status_reply{});
    try_as(revisions_reply{});
}

apply_policy_request sample_request() {
    auto request = apply_request("[policy]\nchange_id = ölçü \"1\"\n", 7);
    request.dry_run = true;
    return request;
}

std::string mutated(std::string bytes) {
    const auto mutations = *rc::gen::inRange(1, 6);
    for (int mutation = 0; mutation < mutations && !bytes.empty(); ++mutation) {
        const auto position = *rc::gen::inRange<std::size_t>(0, bytes.size());
        bytes[position] = *rc::gen::arbitrary<char>();
    }
    bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
    return bytes;
}

TEST(message_codec_test, random_bytes_never_crash) {
    EXPECT_TRUE(rc::check([] {
        const auto bytes = *rc::gen::arbitrary<std::string>();
        decode_as_everything(bytes, json);
        decode_as_everything(bytes, binary);
    }));
}

TEST(message_codec_test, mutated_messages_never_crash) {
    base::failure failure;
    const auto text = encode(sample_request(), json, failure).value();
    const auto bytes = encode(sample_request(), binary, failure).value();
    EXPECT_TRUE(rc::check([&] {
        decode_as_everything(mutated(text), json);
        decode_as_everything(mutated(bytes), binary);
    }));
}

TEST(message_codec_test, deep_nesting_never_crashes) {
    constexpr std::size_t depth = 100000;
    decode_as_everything(std::string(depth, '{'), json);
    decode_as_everything(std::string(depth, '['), json);
    std::string nested;
    for (std::size_t level = 0; level < depth; ++level) {
        nested += "{\"entries\":[";
    }
    decode_as_everything(nested, json);
}

TEST(message_codec_test, both_encodings_keep_all_fields) {
    for (const auto encoding : {json, binary}) {
        base::failure failure;
        const auto bytes = encode(sample_request(), encoding, failure);
        const auto back = decode<apply_policy_request>(bytes.value(), encoding, failure);
        ASSERT_TRUE(back.has_value()) << failure.detail;
        EXPECT_EQ(*back, sample_request());
    }
}

TEST(message_codec_test, an_absent_optional_number_differs_from_zero) {
    base::failure failure;
    const auto absent = decode<set_shift_cap_request>(R"({"service":"s"})", json, failure);
    const auto zero = decode<set_shift_cap_request>(R"({"service":"s","share":0})", json, failure);
    EXPECT_FALSE(absent.value().share.has_value());
    EXPECT_EQ(zero.value().share, 0.0);
}

TEST(message_codec_test, what_is_not_exactly_a_message_is_refused) {
    // The parser must not read schema declarations, files or C-style text either.
    for (const std::string text :
         {R"({"policy":"x","unknown":1})", R"({"policy":"x"} trailing)", R"({"policy":1})", "{}", "", "null",
          "[]", R"({policy:"x"})", R"({"policy":"x",})", R"({"policy":"x","expected_revision":"y"})",
          R"({"policy":"x","expected_revision":99999999999999999999})",
          R"(include "/dev/null"; {"policy":"x"})", R"(table t {} {"policy":"x"})",
          "{\"policy\":\"\xff\"}"}) {
        base::failure failure;
        EXPECT_FALSE(decode<apply_policy_request>(text, json, failure).has_value()) << text;
        EXPECT_EQ(failure.kind, base::error_kind::request_invalid);
    }
    base::failure failure;
    const std::string hidden = R"({"policy":"x"})" + std::string(1, '\0') + "hidden";
    EXPECT_FALSE(decode<apply_policy_request>(hidden, json, failure).has_value());
    const auto not_utf8 = encode(apply_request("\xff", 0), binary, failure);
    EXPECT_FALSE(decode<apply_policy_request>(not_utf8.value(), binary, failure).has_value());
}

} // namespace
} // namespace carawayway::operators
