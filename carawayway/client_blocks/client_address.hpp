// The address of a caller, reduced to the bits that client blocks are matched by.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

namespace carawayway::client_blocks {

enum class address_family : std::uint8_t { ipv4, ipv6 };

// Width of the key that prefixes are matched against: the whole IPv4 address, or the upper 64 bits of an IPv6
// address.
constexpr std::uint8_t key_bits(address_family family) {
    return family == address_family::ipv4 ? 32 : 64;
}

using ipv6_bytes = std::array<std::uint8_t, 16>;

// Returns no value unless `text` is an IPv6 literal without a zone.
std::optional<ipv6_bytes> parse_ipv6_literal(std::string_view text);

// IPv4-mapped IPv6 addresses are treated as IPv4, so that callers on a dual-stack socket match their IPv4
// block.
class client_address {
public:
    explicit client_address(std::uint32_t ipv4) : m_key(ipv4) {}
    explicit client_address(const ipv6_bytes& ipv6);

    // Returns no value unless `text` is an IPv4 or IPv6 literal without a port, prefix length or zone.
    static std::optional<client_address> parse(std::string_view text);

    address_family family() const { return m_family; }
    std::uint64_t key() const { return m_key; } // host byte order, right-aligned to key_bits(family())

    bool operator==(const client_address&) const = default;

private:
    std::uint64_t m_key = 0;
    address_family m_family = address_family::ipv4;
};

} // namespace carawayway::client_blocks
