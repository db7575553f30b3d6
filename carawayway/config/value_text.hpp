// Converts between values and their text in a file. Each parse function returns false and leaves `value`
// unchanged if the text is not a value of the type. `is_valid_value` in key_check.hpp checks ranges.
#pragma once

#include "carawayway/base/log.hpp"
#include "carawayway/base/time.hpp"
#include "carawayway/config/instance_settings.hpp"
#include "carawayway/config/policy.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carawayway::config {

bool parse_value(std::string_view text, std::string& value);
bool parse_value(std::string_view text, std::uint32_t& value);
bool parse_value(std::string_view text, double& value);         // finite, decimal
bool parse_value(std::string_view text, base::duration& value); // non-negative whole milliseconds
bool parse_value(std::string_view text, request_semantics& value);
bool parse_value(std::string_view text, administrative_state& value);
bool parse_value(std::string_view text, base::log_level& value);
bool parse_value(std::string_view text, socket_address& value); // canonical host; no wildcard address
bool parse_value(std::string_view text, std::vector<std::string>& value); // comma-separated, no empty items
bool parse_value(std::string_view text, std::vector<socket_address>& value);

template <class Value>
bool parse_value(std::string_view text, std::optional<Value>& value) {
    Value parsed{};
    if (!parse_value(text, parsed)) {
        return false;
    }
    value = parsed;
    return true;
}

std::string format_value(const std::string& value);
std::string format_value(std::uint32_t value);
std::string format_value(double value);         // shortest text that parses to the same number
std::string format_value(base::duration value); // truncated to whole milliseconds
std::string format_value(request_semantics value);
std::string format_value(administrative_state value);
std::string format_value(base::log_level value);
std::string format_value(const socket_address& value);
std::string format_value(const std::vector<std::string>& value);
std::string format_value(const std::vector<socket_address>& value);

// Formats an absent value as empty text.
template <class Value>
std::string format_value(const std::optional<Value>& value) {
    return value.has_value() ? format_value(*value) : std::string{};
}

} // namespace carawayway::config
