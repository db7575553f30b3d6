// Parsing and matching of prefixes.
#include "carawayway/client_blocks/address_prefix.hpp"

#include <algorithm>
#include <charconv>

namespace carawayway::client_blocks {

namespace {

// Returns a mask of the host bits, which follow a prefix of `length` bits.
std::uint64_t host_mask(address_family family, std::uint8_t length) {
    const unsigned host_bits = key_bits(family) - length;
    return host_bits == 64 ? ~std::uint64_t{0} : (std::uint64_t{1} << host_bits) - 1;
}

std::optional<std::uint8_t> parse_length(std::string_view text) {
    std::uint8_t length = 0;
    const char* end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, length);
    if (error != std::errc{} || rest != end) {
        return std::nullopt;
    }
    return length;
}

// True when the lower 64 bits, which client_address ignores, are not all zero.
bool has_interface_bits(const ipv6_bytes& ipv6) {
    return std::any_of(ipv6.begin() + ipv6.size() / 2, ipv6.end(),
                       [](std::uint8_t byte) { return byte != 0; });
}

} // namespace

std::optional<address_prefix> address_prefix::make(address_family family, std::uint64_t key,
                                                   std::uint8_t length) {
    if (length > key_bits(family)) {
        return std::nullopt;
    }
    const std::uint64_t key_mask = host_mask(family, 0);
    if ((key & ~key_mask) != 0 || (key & host_mask(family, length)) != 0) {
        return std::nullopt;
    }
    return address_prefix(family, key, length);
}

std::optional<address_prefix> address_prefix::parse(std::string_view text) {
    const auto slash = text.find('/');
    if (slash == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view literal = text.substr(0, slash);
    const auto address = client_address::parse(literal);
    const auto length = parse_length(text.substr(slash + 1));
    if (!address.has_value() || !length.has_value()) {
        return std::nullopt;
    }
    const auto ipv6 = parse_ipv6_literal(literal);
    if (ipv6.has_value() && (address->family() == address_family::ipv4 || has_interface_bits(*ipv6))) {
        return std::nullopt; // IPv4-mapped prefixes are longer than the supported 64 bits
    }
    return make(address->family(), address->key(), *length);
}

bool address_prefix::contains(const client_address& address) const {
    return address.family() == m_family && (address.key() & ~host_mask(m_family, m_length)) == m_key;
}

} // namespace carawayway::client_blocks
