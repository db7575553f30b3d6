// Base64 of RFC 4648 with padding, the form in which JSON carries bytes.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace carawayway::json {

std::string base64_encode(std::string_view bytes);

// Empty when the text is not canonical base64: wrong length, alphabet, padding or non-zero spare bits.
std::optional<std::string> base64_decode(std::string_view text);

} // namespace carawayway::json
