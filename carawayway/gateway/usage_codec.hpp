// Encoding of the datagrams by which gateways share the quotas of accounts.
#pragma once

#include "carawayway/accounts/usage_messages.hpp"

#include <cstddef>
#include <span>
#include <string>
#include <variant>

namespace carawayway::gateway {

std::string encode(const accounts::usage_report& report);
std::string encode(const accounts::usage_reply& reply);

using usage_message = std::variant<std::monostate, accounts::usage_report, accounts::usage_reply>;

// std::monostate when the payload is neither.
usage_message decode_usage_message(std::span<const std::byte> payload);

} // namespace carawayway::gateway
