// Base64 encoding and strict decoding.
#include "carawayway/json/base64.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace carawayway::json {

namespace {

constexpr std::string_view alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr std::uint8_t not_in_alphabet = 0xff;
constexpr std::size_t group_bytes = 3;
constexpr std::size_t group_characters = 4;

constexpr std::array<std::uint8_t, 256> make_decode_table() {
    std::array<std::uint8_t, 256> table{};
    table.fill(not_in_alphabet);
    for (std::size_t index = 0; index < alphabet.size(); ++index) {
        table.at(static_cast<std::uint8_t>(alphabet[index])) = static_cast<std::uint8_t>(index);
    }
    return table;
}

constexpr auto decode_table = make_decode_table();

std::uint32_t byte_at(std::string_view bytes, std::size_t index) {
    return index < bytes.size() ? static_cast<std::uint8_t>(bytes[index]) : 0U;
}

} // namespace

std::string base64_encode(std::string_view bytes) {
    std::string text;
    text.reserve((bytes.size() + group_bytes - 1) / group_bytes * group_characters);
    for (std::size_t start = 0; start < bytes.size(); start += group_bytes) {
        const std::uint32_t group =
            (byte_at(bytes, start) << 16U) | (byte_at(bytes, start + 1) << 8U) | byte_at(bytes, start + 2);
        text += alphabet[group >> 18U];
        text += alphabet[(group >> 12U) & 0x3fU];
        text += start + 1 < bytes.size() ? alphabet[(group >> 6U) & 0x3fU] : '=';
        text += start + 2 < bytes.size() ? alphabet[group & 0x3fU] : '=';
    }
    return text;
}

std::optional<std::string> base64_decode(std::string_view text) {
    if (text.size() % group_characters != 0) {
        return std::nullopt;
    }
    std::size_t padding = 0;
    while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=') {
        ++padding;
    }
    std::string bytes;
    bytes.reserve(text.size() / group_characters * group_bytes);
    std::uint32_t bits = 0;
    unsigned bit_count = 0;
    for (const char character : text.substr(0, text.size() - padding)) {
        const std::uint8_t value = decode_table.at(static_cast<std::uint8_t>(character));
        if (value == not_in_alphabet) {
            return std::nullopt;
        }
        bits = (bits << 6U) | value;
        bit_count += 6;
        if (bit_count >= 8) {
            bit_count -= 8;
            bytes += static_cast<char>((bits >> bit_count) & 0xffU);
        }
    }
    const std::uint32_t trailing_bits = bits & ((1U << bit_count) - 1U);
    if (trailing_bits != 0) {
        return std::nullopt;
    }
    return bytes;
}

} // namespace carawayway::json
