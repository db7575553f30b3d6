// Hashes the parts of a request that are the same when a caller sends it again.
#include "carawayway/gateway/content_fingerprint.hpp"

#include "carawayway/base/hash.hpp"
#include "carawayway/routing/route_table.hpp"

#include <fmt/format.h>

#include <charconv>
#include <initializer_list>
#include <numeric>

namespace carawayway::gateway {

namespace {

// Each part is hashed with the previous hash as its seed, so that parts cannot run into each other.
std::uint64_t hash_parts(std::uint64_t seed, std::initializer_list<std::string_view> parts) {
    return std::accumulate(parts.begin(), parts.end(), seed, [](std::uint64_t hash, std::string_view part) {
        return base::hash_bytes(part, hash);
    });
}

} // namespace

content_fingerprints fingerprints_of(const http_request& request, std::string_view object) {
    const std::string_view body = request.body();
    const std::string_view hashed_body = body.substr(0, maximum_hashed_body_bytes);
    const std::string_view host(request[http::field::host]);
    const std::string_view target(request.target());
    const std::uint64_t seed = base::hash_bytes(request.method_string(), body.size());
    const auto path = routing::path_of(target);
    content_fingerprints result{hash_parts(seed, {host, path, hashed_body}),
                                hash_parts(seed, {host, target, object, hashed_body})};
    if (path.size() < target.size() && !object.empty()) {
        result.content_with_query = hash_parts(seed, {host, target, hashed_body, "query"});
        result.content_with_object = hash_parts(seed, {host, path, object, hashed_body, "object"});
    }
    return result;
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
