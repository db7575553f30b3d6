// Identifies requests that have the same content, whoever receives them and whatever their request IDs are.
#pragma once

#include "carawayway/gateway/wire_types.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace carawayway::gateway {

// Bytes of the body that count; hashing the whole of a large body would delay other requests.
inline constexpr std::size_t maximum_hashed_body_bytes = 64U << 10U;

// Hash of method, host, target, object, the size of the body and its beginning. Equal on all gateways. The
// object tells callers apart that send the same path and body.
std::uint64_t content_fingerprint(const http_request& request, std::string_view object);

// 16 hexadecimal digits, as in log lines and store keys.
std::string to_text(std::uint64_t fingerprint);
// Empty when the text is not one that to_text() returns.
std::optional<std::uint64_t> fingerprint_from_text(std::string_view text);

} // namespace carawayway::gateway
