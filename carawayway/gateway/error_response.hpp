// The gateway's own answers to requests that it gave up.
#pragma once

#include "carawayway/base/error_kind.hpp"
#include "carawayway/gateway/wire_types.hpp"

namespace carawayway::gateway {

// `retry_after`: when the caller should come back; zero: no advice.
http_response refusal_answer(const base::error_answer& row, base::duration retry_after);

} // namespace carawayway::gateway
