// Incremental frame parsing. append() erases the consumed bytes, so that this happens once per read, not once
// per frame.
#include "carawayway/wire/frame_reader.hpp"

#include <fmt/format.h>

namespace carawayway::wire {

namespace {

std::uint32_t read_prefix(std::span<const std::byte> bytes) {
    std::uint32_t value = 0;
    for (std::size_t index = 0; index < frame_prefix_size; ++index) {
        value |= std::to_integer<std::uint32_t>(bytes[index]) << (8U * index);
    }
    return value;
}

} // namespace

void frame_reader::append(std::span<const std::byte> bytes) {
    m_buffer.erase(m_buffer.begin(), m_buffer.begin() + static_cast<std::ptrdiff_t>(m_consumed));
    m_consumed = 0;
    m_buffer.insert(m_buffer.end(), bytes.begin(), bytes.end());
}

std::optional<std::span<const std::byte>> frame_reader::next(base::failure& last_failure) {
    const std::span<const std::byte> rest = std::span(m_buffer).subspan(m_consumed);
    if (m_failed || rest.size() < frame_prefix_size) {
        return std::nullopt;
    }
    const std::size_t size = read_prefix(rest);
    if (size == 0 || size > m_maximum_payload_size) {
        m_failed = true;
        last_failure = {base::error_kind::frame_invalid,
                        fmt::format("frame length {} is outside 1..{}", size, m_maximum_payload_size)};
        return std::nullopt;
    }
    if (rest.size() < frame_prefix_size + size) {
        return std::nullopt;
    }
    m_consumed += frame_prefix_size + size;
    return rest.subspan(frame_prefix_size, size);
}

std::array<std::byte, frame_prefix_size> frame_prefix(std::uint32_t payload_size) {
    std::array<std::byte, frame_prefix_size> prefix{};
    for (std::size_t index = 0; index < frame_prefix_size; ++index) {
        prefix.at(index) = static_cast<std::byte>((payload_size >> (8U * index)) & 0xffU);
    }
    return prefix;
}

} // namespace carawayway::wire
