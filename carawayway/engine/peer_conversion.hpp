// Converts the engine's requests and responses to and from the messages between entry instances.
#pragma once

#include "carawayway/engine/pending_call.hpp"
#include "carawayway/wire/messages.hpp"

namespace carawayway::engine {

wire::request to_wire(const pending_call& call, base::duration remaining);
wire::outcome to_wire(const service_response& response);

service_request from_wire(wire::request message);
service_response from_wire(wire::outcome message);

// Size of the request as counted against the limit of bytes in flight on a peer link.
std::size_t wire_size(const service_request& request);

} // namespace carawayway::engine
