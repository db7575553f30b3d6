// Tests that replication messages survive encoding and decoding, and that other bytes are rejected.
#include "carawayway/fleet/replication_codec.hpp"
#include "carawayway/wire/relay_generated.h"

#include <gtest/gtest.h>

namespace carawayway::fleet {
namespace {

std::span<const std::byte> bytes_of(const std::string& text) {
    return std::as_bytes(std::span(text));
}

TEST(replication_codec, round_trips_requests_and_replies) {
    const replication_request request{store_revision{77, 3}, std::chrono::milliseconds{700}};
    EXPECT_EQ(decode_request(bytes_of(encode(request))), request);
    for (const bool watches_store : {false, true}) {
        const replication_reply reply{
            store_revision{90, 3},
            true,
            {{"servers/a", std::string("\0\xff{}", 4), store_revision{80, 2}, false},
             {"op/evacuate/b", {}, 90, true}},
            watches_store,
            std::chrono::milliseconds{2300}};
        EXPECT_EQ(decode_reply(bytes_of(encode(reply))), reply);
    }
}

// Guards against taking a reply for a request, and against bytes that another program sends to the port.
TEST(replication_codec, rejects_other_bytes) {
    EXPECT_FALSE(decode_request(bytes_of(encode(replication_reply{}))).has_value());
    EXPECT_FALSE(decode_reply(bytes_of(encode(replication_request{}))).has_value());
    EXPECT_FALSE(decode_reply(bytes_of("GET / HTTP/1.1\r\n\r\n")).has_value());
    EXPECT_FALSE(decode_reply({}).has_value());
}

// Guards against a listing in another form that is taken for an empty store, which would remove everything.
TEST(replication_codec, rejects_a_reply_without_a_list_of_records) {
    flatbuffers::FlatBufferBuilder builder;
    constexpr bool is_complete = true;
    const auto reply = wire::relay::CreateFactReply(builder, 90, is_complete);
    builder.Finish(wire::relay::CreateMessage(builder, wire::relay::Body::FactReply, reply.Union()));
    const std::string payload(reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize());
    EXPECT_EQ(decode_reply(bytes_of(payload)), std::nullopt);
    EXPECT_TRUE(decode_reply(bytes_of(encode(replication_reply{90, true, {}}))).has_value());
}

// Guards against reading beyond the end of a truncated message.
TEST(replication_codec, rejects_a_truncated_message) {
    const std::string whole = encode(replication_reply{90, false, {{"servers/a", "value", 80, false}}});
    for (std::size_t size = 0; size + 8 < whole.size(); ++size) {
        const std::string part = whole.substr(0, size);
        const auto decoded = decode_reply(bytes_of(part));
        EXPECT_TRUE(!decoded.has_value() || decoded->records.empty()) << size;
    }
}

} // namespace
} // namespace carawayway::fleet
