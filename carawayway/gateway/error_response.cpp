// Builds problem documents for failed requests.
#include "carawayway/gateway/error_response.hpp"

#include <fmt/format.h>

namespace carawayway::gateway {

http_response error_response(const base::error_properties& error, base::duration retry_after) {
    http_response response{static_cast<http::status>(error.status), 11};
    response.set(http::field::content_type, "application/problem+json");
    if (retry_after > base::duration::zero()) {
        response.set(http::field::retry_after, fmt::format("{:.3f}", base::to_seconds(retry_after)));
    }
    response.body() =
        fmt::format(R"({{"kind":"{}","execution":"{}"}})", error.name, to_string(error.execution));
    return response;
}

} // namespace carawayway::gateway
