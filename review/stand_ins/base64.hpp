// Base64 text with padding.
#pragma once

#include <boost/beast/core/detail/base64.hpp>

#include <string>

namespace review {

inline std::string base64_encode(const std::string& bytes) {
    namespace base64 = boost::beast::detail::base64;
    std::string text(base64::encoded_size(bytes.size()), '\0');
    text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

} // namespace review
