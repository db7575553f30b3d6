// Tests that decoding any bytes does not crash, and that unknown or extra content is rejected instead of
// ignored.
#include "Tests/operators/editor_fixture.hpp"
#include "carawayway/operators/message_codec.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace carawayway::operators {
namespace {

using enum message_encoding;

// Decodes the bytes as several message types. A decoded message must encode again.
void decode_as_each_message(const std::string& bytes, message_encoding encoding) {
    const auto decode_as = [&]<class Message>(const Message&) {
        base::failure failure;
        const auto message = decode<Message>(bytes, encoding, failure);
        if (message) {
            RC_ASSERT(encode(*message, json, failure).has_value());
        } else {
            RC_ASSERT(failure.kind == base::error_kind::request_invalid);
        }
    };
    decode_as(apply_policy_request{});
    decode_as(get_policy_request{});
    decode_as(drain_request{});
    decode_as(set_shift_cap_request{});
    decode_as(explain_request{});
    decode_as(status_reply{});
    decode_as(revisions_reply{});
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

TEST(message_codec_test, random_bytes_do_not_crash) {
    EXPECT_TRUE(rc::check([] {
        const auto bytes = *rc::gen::arbitrary<std::string>();
        decode_as_each_message(bytes, json);
        decode_as_each_message(bytes, binary);
    }));
}

TEST(message_codec_test, mutated_messages_do_not_crash) {
    base::failure failure;
    const auto text = encode(sample_request(), json, failure).value();
    const auto bytes = encode(sample_request(), binary, failure).value();
    EXPECT_TRUE(rc::check([&] {
        decode_as_each_message(mutated(text), json);
        decode_as_each_message(mutated(bytes), binary);
    }));
}

TEST(message_codec_test, deep_nesting_does_not_crash) {
    constexpr std::size_t depth = 100000;
    decode_as_each_message(std::string(depth, '{'), json);
    decode_as_each_message(std::string(depth, '['), json);
    std::string nested;
    for (std::size_t level = 0; level < depth; ++level) {
        nested += "{\"entries\":[";
    }
    decode_as_each_message(nested, json);
}

TEST(message_codec_test, both_encodings_preserve_all_fields) {
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

TEST(message_codec_test, anything_but_a_single_valid_message_is_rejected) {
    // The parser also supports schema declarations, includes and non-strict JSON, which must be rejected.
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
