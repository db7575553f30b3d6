// Framing on peer links: a 4-byte little-endian payload length, followed by the payload.
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

// Splits a byte stream into frames. After a failure the stream cannot be resynchronised and must be closed.
class frame_reader {
public:
    explicit frame_reader(std::size_t maximum_size = maximum_payload_size)
        : m_maximum_payload_size(maximum_size) {}

    // Adds received bytes.
    void append(std::span<const std::byte> bytes);

    // Returns the payload of the next frame, or std::nullopt. The span is valid until the next call of
    // append(). Without a frame, `failed()` tells an invalid stream from an incomplete frame; `last_failure`
    // holds the reason.
    std::optional<std::span<const std::byte>> next(base::failure& last_failure);

    bool failed() const { return m_failed; }

private:
    std::size_t m_maximum_payload_size;
    std::vector<std::byte> m_buffer;
    std::size_t m_consumed = 0; // bytes at the front of the buffer that belong to returned frames
    bool m_failed = false;
};

// Returns the length prefix for a payload of this size.
std::array<std::byte, frame_prefix_size> frame_prefix(std::uint32_t payload_size);

} // namespace carawayway::wire
