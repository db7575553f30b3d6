// Builds the gateway's own error responses.
#pragma once

#include "carawayway/base/error_kind.hpp"
#include "carawayway/gateway/wire_types.hpp"

namespace carawayway::gateway {

// `retry_after` is the delay advised to the caller; zero omits the Retry-After header.
http_response error_response(const base::error_properties& error, base::duration retry_after);

} // namespace carawayway::gateway
