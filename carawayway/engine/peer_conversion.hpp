// Conversion between the engine's requests and answers and the messages between entry instances.
#pragma once

#include "carawayway/engine/pending_call.hpp"
#include "carawayway/wire/messages.hpp"

namespace carawayway::engine {

wire::request to_wire(const pending_call& call, base::duration remaining);
wire::outcome to_wire(const service_response& answer);

service_request from_wire(wire::request message);
service_response from_wire(wire::outcome message);

// Size that counts against the limit of bytes in flight on a peer link.
std::size_t wire_size(const service_request& request);

} // namespace carawayway::engine
