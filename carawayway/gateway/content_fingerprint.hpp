// Identifies requests that have the same content, whoever receives them and whatever their request IDs are.
#pragma once

#include "carawayway/gateway/wire_types.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace carawayway::gateway {

// Bytes of the body that count; hashing the whole of a large body would delay other requests.
inline constexpr std::size_t maximum_hashed_body_bytes = 64U << 10U;

// All hashes are equal on all gateways.
struct content_fingerprints {
    std::uint64_t content = 0; // of method, host, path, the size of the body and its beginning
    std::uint64_t variant = 0; // of the content together with the query and the object
    // Of the content together with only one of them; 0 unless the request has both.
    std::uint64_t content_with_query = 0;
    std::uint64_t content_with_object = 0;

    // The groups of variants that this one belongs to. Some may be 0.
    std::array<std::uint64_t, 3> groups() const { return {content, content_with_query, content_with_object}; }
    std::array<std::uint64_t, 4> all() const {
        return {variant, content, content_with_query, content_with_object};
    }

    bool operator==(const content_fingerprints&) const = default;
};

content_fingerprints fingerprints_of(const http_request& request, std::string_view object);

// 16 hexadecimal digits, as in log lines and store keys.
std::string to_text(std::uint64_t fingerprint);
// Empty when the text is not one that to_text() returns.
std::optional<std::uint64_t> fingerprint_from_text(std::string_view text);

} // namespace carawayway::gateway
