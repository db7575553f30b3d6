// Handles hop-by-hop headers, which apply to one connection and are not forwarded.
#pragma once

#include "carawayway/gateway/wire_types.hpp"

namespace carawayway::gateway {

// Removes the hop-by-hop headers, the headers named by Connection, and the headers that frame the body.
void remove_hop_by_hop_headers(http::fields& headers);

// Memory that a head takes.
std::size_t memory_of(const http::fields& headers);

// The timeout parameter of the Keep-Alive header, if present.
std::optional<base::duration> keep_alive_timeout(const http::fields& headers);

// The time in Retry-After, if it is given in seconds.
std::optional<base::duration> retry_after_in(const http::fields& headers);

// Whether the head has a status line within. A response that breaks off within a line of its head makes one
// head with the response behind it, and the status and the fields of this head belong to different requests.
bool contains_status_line(const http_response& response);

} // namespace carawayway::gateway
