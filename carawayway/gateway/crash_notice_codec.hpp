// Encoding of the notices by which gateways tell each other which contents lost servers.
#pragma once

#include "carawayway/steering/crash_history.hpp"

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace carawayway::gateway {

// Returns the payload of one datagram.
std::string encode_crash_notice(std::span<const steering::crash_count> counts);

// Empty when the payload is not a valid notice.
std::optional<std::vector<steering::crash_count>> decode_crash_notice(std::span<const std::byte> payload);

} // namespace carawayway::gateway
