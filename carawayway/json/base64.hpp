// Base64 of RFC 4648 with padding, used for binary values in JSON.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace carawayway::json {

std::string base64_encode(std::string_view bytes);

// Returns std::nullopt when the text is not canonical base64: wrong length, alphabet or padding, or non-zero
// trailing bits.
std::optional<std::string> base64_decode(std::string_view text);

} // namespace carawayway::json
