// Framing on peer links: a 4-byte little-endian length followed by that many bytes.
#pragma once

#include "carawayway/base/error_kind.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace carawayway::wire {

inline constexpr std::size_t frame_prefix_size = 4; // bytes
inline constexpr std::size_t maximum_payload_size =
    (1U << 20U) + (std::size_t{64} << 10U); // bytes, without the prefix

// Cuts a byte stream into frames. After a failure the stream cannot be resynchronised and must be closed.
class frame_reader {
public:
    explicit frame_reader(std::size_t limit = maximum_payload_size) : m_limit(limit) {}

    // Adds bytes as they arrive.
    void append(std::span<const std::byte> bytes);

    // The next whole frame without its prefix, or nothing. The span is valid until the next call of append().
    // When nothing is returned, `failed()` tells whether the stream is broken, with the reason in
    // `last_failure`.
    std::optional<std::span<const std::byte>> next(base::failure& last_failure);

    bool failed() const { return m_failed; }

private:
    std::size_t m_limit;
    std::vector<std::byte> m_buffer;
    std::size_t m_consumed = 0; // bytes at the front of the buffer that were returned
    bool m_failed = false;
};

// The prefix for a payload of this size.
std::array<std::byte, frame_prefix_size> frame_prefix(std::uint32_t payload_size);

} // namespace carawayway::wire
