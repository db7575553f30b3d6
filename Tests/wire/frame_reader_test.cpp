// Guards against frames that are split or merged wrongly, and against lengths that would exhaust the
// receiver's memory.
#include "carawayway/wire/frame_reader.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <vector>

namespace carawayway::wire {
namespace {

std::vector<std::byte> framed(const std::vector<std::byte>& payload) {
    const auto prefix = frame_prefix(static_cast<std::uint32_t>(payload.size()));
    std::vector<std::byte> bytes(prefix.begin(), prefix.end());
    bytes.insert(bytes.end(), payload.begin(), payload.end());
    return bytes;
}

TEST(frame_reader_test, frames_are_read_from_a_stream_split_anywhere) {
    EXPECT_TRUE(rc::check("any split", [] {
        std::vector<std::vector<std::byte>> payloads;
        std::vector<std::byte> stream;
        for (const std::size_t size :
             *rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange(1, 400))) {
            payloads.emplace_back(size, static_cast<std::byte>(size));
            const auto bytes = framed(payloads.back());
            stream.insert(stream.end(), bytes.begin(), bytes.end());
        }
        frame_reader reader;
        base::failure failure;
        std::vector<std::vector<std::byte>> received;
        for (std::size_t start = 0; start < stream.size();) {
            const auto size = std::min(*rc::gen::inRange<std::size_t>(1, 300), stream.size() - start);
            reader.append(std::span(stream).subspan(start, size));
            start += size;
            while (const auto payload = reader.next(failure)) {
                received.emplace_back(payload->begin(), payload->end());
            }
        }
        RC_ASSERT(!reader.failed());
        RC_ASSERT(received == payloads);
    }));
}

TEST(frame_reader_test, an_empty_or_oversized_frame_fails_the_stream_before_its_payload_arrives) {
    for (const std::uint32_t size : {std::uint32_t{0}, static_cast<std::uint32_t>(maximum_payload_size + 1),
                                     std::uint32_t{0xffffffff}}) {
        frame_reader reader;
        base::failure failure;
        reader.append(frame_prefix(size));
        EXPECT_FALSE(reader.next(failure).has_value());
        EXPECT_TRUE(reader.failed());
        EXPECT_EQ(failure.kind, base::error_kind::frame_invalid);
        reader.append(framed({std::byte{1}}));
        EXPECT_FALSE(reader.next(failure).has_value());
    }
}

TEST(frame_reader_test, a_frame_of_the_maximum_size_is_accepted) {
    frame_reader reader;
    base::failure failure;
    reader.append(framed(std::vector<std::byte>(maximum_payload_size)));
    const auto payload = reader.next(failure);
    ASSERT_TRUE(payload.has_value());
    EXPECT_EQ(payload->size(), maximum_payload_size);
}

} // namespace
} // namespace carawayway::wire
