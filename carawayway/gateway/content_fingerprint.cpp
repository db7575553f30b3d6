// Hashes the parts of a request that are the same when a caller sends it again.
#include "carawayway/gateway/content_fingerprint.hpp"

#include "carawayway/base/hash.hpp"

#include <fmt/format.h>

#include <charconv>

namespace carawayway::gateway {

std::uint64_t content_fingerprint(const http_request& request, std::string_view object) {
    const std::string_view body = request.body();
    std::uint64_t hash = base::hash_bytes(request.method_string(), body.size());
    // Each part is hashed with the previous hash as its seed, so that parts cannot run into each other.
    for (const std::string_view part :
         {std::string_view(request[http::field::host]), std::string_view(request.target()), object,
          body.substr(0, maximum_hashed_body_bytes)}) {
        hash = base::hash_bytes(part, hash);
    }
    return hash;
}

std::string to_text(std::uint64_t fingerprint) {
    return fmt::format("{:016x}", fingerprint);
}

std::optional<std::uint64_t> fingerprint_from_text(std::string_view text) {
    constexpr int hexadecimal = 16;
    std::uint64_t fingerprint = 0;
    const auto* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, fingerprint, hexadecimal);
    const bool valid = parsed.ec == std::errc{} && parsed.ptr == end && to_text(fingerprint) == text;
    return valid ? std::optional(fingerprint) : std::nullopt;
}

} // namespace carawayway::gateway
