// Headers that concern one connection only and are not passed on.
#pragma once

#include "carawayway/gateway/wire_types.hpp"

namespace carawayway::gateway {

// Removes the hop-by-hop headers, those that the Connection header names, and the framing of the body.
void remove_connection_headers(http::fields& headers);

// Seconds from a Keep-Alive header's timeout parameter; nothing when there is none.
std::optional<base::duration> keep_alive_timeout(const http::fields& headers);

} // namespace carawayway::gateway
