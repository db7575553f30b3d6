// Request fingerprints and error responses.
#include "carawayway/engine/service_request.hpp"

#include "carawayway/base/hash.hpp"

#include <utility>

namespace carawayway::engine {

std::uint64_t fingerprint(const service_request& request) {
    std::uint64_t hash = base::hash_bytes(request.service);
    hash = base::hash_bytes(request.method, hash);
    hash = base::hash_bytes(request.target, hash);
    return base::hash_bytes(request.body, hash);
}

service_response make_error_response(base::error_kind kind, std::string detail, base::duration retry_after) {
    const auto& row = base::answer_for(kind);
    return {.execution = row.execution,
            .error = kind,
            .status = row.status,
            .headers = {},
            .body = {},
            .server = {},
            .detail = std::move(detail),
            .retry_after = retry_after,
            .request_id_prefix = {}};
}

} // namespace carawayway::engine
