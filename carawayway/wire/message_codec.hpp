// Conversion between message values and the bytes of one frame.
#pragma once

#include "carawayway/base/error_kind.hpp"
#include "carawayway/wire/messages.hpp"

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

namespace carawayway::wire {

// Returns the payload of one frame, without the length prefix. The result may exceed the maximum payload size
// when the message holds a large body; the sender has to check.
std::vector<std::byte> encode(const envelope& header, const peer_message& message);

// Verifies structure and value ranges. Returns std::nullopt for an invalid message, with the reason in
// `last_failure`.
std::optional<received_message> decode(std::span<const std::byte> bytes, base::failure& last_failure);

} // namespace carawayway::wire
