// Parses address literals and converts them to keys.
#include "carawayway/client_blocks/client_address.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <string>

namespace carawayway::client_blocks {

namespace {

constexpr std::size_t maximum_literal_length = 45; // the longest IPv6 literal with an embedded IPv4 address
constexpr std::array<std::uint8_t, 12> ipv4_mapped_prefix{0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xFF, 0xFF};
constexpr std::size_t network_half_bytes = 8;

std::uint64_t read_big_endian(const std::uint8_t* bytes, std::size_t count) {
    std::uint64_t value = 0;
    for (std::size_t index = 0; index < count; ++index) {
        value = (value << 8U) | bytes[index];
    }
    return value;
}

// Rejects text with a null character, since inet_pton would ignore everything after it.
bool is_literal_candidate(std::string_view text) {
    return text.size() <= maximum_literal_length && text.find('\0') == std::string_view::npos;
}

} // namespace

client_address::client_address(const ipv6_bytes& ipv6) {
    if (std::equal(ipv4_mapped_prefix.begin(), ipv4_mapped_prefix.end(), ipv6.begin())) {
        m_key =
            read_big_endian(ipv6.data() + ipv4_mapped_prefix.size(), ipv6.size() - ipv4_mapped_prefix.size());
        return;
    }
    m_family = address_family::ipv6;
    m_key = read_big_endian(ipv6.data(), network_half_bytes);
}

std::optional<ipv6_bytes> parse_ipv6_literal(std::string_view text) {
    ipv6_bytes ipv6{};
    if (!is_literal_candidate(text) || inet_pton(AF_INET6, std::string(text).c_str(), ipv6.data()) != 1) {
        return std::nullopt;
    }
    return ipv6;
}

std::optional<client_address> client_address::parse(std::string_view text) {
    in_addr ipv4{};
    if (is_literal_candidate(text) && inet_pton(AF_INET, std::string(text).c_str(), &ipv4) == 1) {
        return client_address(ntohl(ipv4.s_addr));
    }
    if (const auto ipv6 = parse_ipv6_literal(text)) {
        return client_address(*ipv6);
    }
    return std::nullopt;
}

} // namespace carawayway::client_blocks
