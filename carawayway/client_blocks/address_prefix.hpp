// An IPv4 or IPv6 network prefix of at most 64 bits.
#pragma once

#include "carawayway/client_blocks/client_address.hpp"

#include <cstdint>
#include <optional>
#include <string_view>
#include <tuple>

namespace carawayway::client_blocks {

class address_prefix {
public:
    // Returns no value when `length` is above key_bits(family) or `key` has host bits set.
    static std::optional<address_prefix> make(address_family family, std::uint64_t key, std::uint8_t length);

    // Parses ADDRESS/LENGTH and applies the checks of `make`. Host bits are rejected because they usually
    // mean that the length is mistyped.
    static std::optional<address_prefix> parse(std::string_view text);

    address_family family() const { return m_family; }
    std::uint64_t key() const { return m_key; } // of the first address, as client_address::key()
    std::uint8_t length() const { return m_length; }

    bool contains(const client_address& address) const;

    // Orders by family, then first address, then length: a prefix precedes the prefixes nested in it.
    bool operator<(const address_prefix& other) const {
        return std::tie(m_family, m_key, m_length) < std::tie(other.m_family, other.m_key, other.m_length);
    }

    bool operator==(const address_prefix&) const = default;

private:
    address_prefix(address_family family, std::uint64_t key, std::uint8_t length)
        : m_family(family), m_key(key), m_length(length) {}

    address_family m_family;
    std::uint64_t m_key;
    std::uint8_t m_length;
};

} // namespace carawayway::client_blocks
