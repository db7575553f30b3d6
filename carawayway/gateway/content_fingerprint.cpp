// Hashes the parts of a request that are the same when a caller sends it again.
#include "carawayway/gateway/content_fingerprint.hpp"

#include "carawayway/base/hash.hpp"

#include <fmt/format.h>

namespace carawayway::gateway {

std::uint64_t content_fingerprint(const http_request& request, std::string_view object) {
    std::uint64_t hash = base::hash_bytes(request.method_string());
    // Each part is hashed with the previous hash as its seed, so that parts cannot run into each other.
    for (const std::string_view part :
         {std::string_view(request[http::field::host]), std::string_view(request.target()), object,
          std::string_view(request.body())}) {
        hash = base::hash_bytes(part, hash);
    }
    return hash;
}

std::string to_text(std::uint64_t fingerprint) {
    return fmt::format("{:016x}", fingerprint);
}

} // namespace carawayway::gateway
