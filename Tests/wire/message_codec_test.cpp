// Guards against fields that are lost in encoding, and against malformed bytes that crash the receiver or
// decode to invalid values.
#include "Tests/wire/sample_messages.hpp"
#include "carawayway/wire/message_codec.hpp"
#include "carawayway/wire/peer_generated.h"

#include <gtest/gtest.h>

#include <limits>
#include <random>
#include <set>

namespace carawayway::wire {
namespace {

const envelope sample_envelope{"hki-a-1", 77, 42, 5};

TEST(message_codec_test, every_kind_of_message_keeps_all_its_fields) {
    std::set<std::size_t> kinds;
    for (const auto& message : sample_messages()) {
        base::failure failure;
        const auto received = decode(encode(sample_envelope, message), failure);
        ASSERT_TRUE(received.has_value()) << message_kind_name(message.index()) << ": " << failure.detail;
        EXPECT_EQ(*received, (received_message{sample_envelope, message}))
            << message_kind_name(message.index());
        kinds.insert(message.index());
    }
    EXPECT_EQ(kinds.size(), message_kind_count);
}

TEST(message_codec_test, mutated_and_truncated_frames_never_crash_and_accepted_ones_can_be_encoded_again) {
    constexpr int rounds = 100000;
    std::mt19937_64 random(20261203);
    const auto below = [&random](std::size_t limit) { return random() % limit; };
    const auto samples = sample_messages();
    for (int round = 0; round < rounds; ++round) {
        auto bytes = encode(sample_envelope, samples.at(below(samples.size())));
        for (std::size_t mutations = 1 + below(6); mutations > 0; --mutations) {
            bytes.at(below(bytes.size())) = static_cast<std::byte>(below(256));
        }
        if (below(4) == 0) {
            bytes.resize(below(bytes.size()));
        }
        base::failure failure;
        const auto received = decode(bytes, failure);
        if (received.has_value()) {
            ASSERT_TRUE(decode(encode(received->envelope, received->message), failure).has_value())
                << "round " << round << ": " << failure.detail;
        } else {
            ASSERT_EQ(failure.kind, base::error_kind::frame_invalid) << "round " << round;
        }
    }
}

TEST(message_codec_test, values_outside_their_range_are_refused) {
    const std::vector<peer_message> invalid{
        claims_request{1, 1, {server_claim{}}},
        heartbeat{1, static_cast<running_state>(9), 1, std::nullopt, {}},
        claims_request{1, 1, {{"s", 1, static_cast<claim_state>(200)}}},
        entry_summary{{{"s", 0, 0, 0, 0, 0, {{"r", -1.0}}}}, {}},
        entry_summary{{{"s", 0, 0, 0, 0, 0, {{"r", std::numeric_limits<double>::quiet_NaN()}}}}, {}},
        policy_document{-1, ""},
        request_result{1, {std::nullopt, base::execution_state::executed, 99, {}, "", 0, "", ""}},
        strike{1, 1, std::string(5000, 'x')},
    };
    for (const auto& message : invalid) {
        base::failure failure;
        EXPECT_FALSE(decode(encode(sample_envelope, message), failure).has_value())
            << message_kind_name(message.index());
    }
}

TEST(message_codec_test, an_outcome_without_an_execution_state_is_unknown) {
    // An absent field must not be read as a statement that the request did or did not run.
    flatbuffers::FlatBufferBuilder out;
    const auto outcome = schema::Createoutcome(out);
    const auto result = schema::Createrequest_result(out, 1, outcome).Union();
    const auto sender = out.CreateString("a");
    schema::Finishpeer_frameBuffer(
        out, schema::Createpeer_frame(out, sender, 1, 0, 1, schema::peer_message::request_result, result));
    base::failure failure;
    const auto received = decode(std::as_bytes(std::span(out.GetBufferPointer(), out.GetSize())), failure);
    ASSERT_TRUE(received.has_value()) << failure.detail;
    EXPECT_EQ(std::get<request_result>(received->message).outcome.execution, base::execution_state::unknown);
}

} // namespace
} // namespace carawayway::wire
