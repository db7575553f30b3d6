// Conversion between values and their text in a file. Each parse function leaves `value` as it was and
// returns false when the text is not a value of the type; ranges are checked by `accepts` in key_check.hpp.
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
bool parse_value(std::string_view text, base::duration& value); // whole milliseconds, not negative
bool parse_value(std::string_view text, request_semantics& value);
bool parse_value(std::string_view text, administrative_state& value);
bool parse_value(std::string_view text, base::log_level& value);
bool parse_value(std::string_view text,
                 socket_address& value); // the host in canonical form, never a wildcard
bool parse_value(std::string_view text, std::vector<std::string>& value); // separated by commas, none empty
bool parse_value(std::string_view text, std::vector<socket_address>& value);

template <class Value>
bool parse_value(std::string_view text, std::optional<Value>& value) {
    Value content{};
    if (!parse_value(text, content)) {
        return false;
    }
    value = content;
    return true;
}

std::string format_value(const std::string& value);
std::string format_value(std::uint32_t value);
std::string format_value(double value);         // the shortest text that reads back to the same number
std::string format_value(base::duration value); // milliseconds, fractions cut
std::string format_value(request_semantics value);
std::string format_value(administrative_state value);
std::string format_value(base::log_level value);
std::string format_value(const socket_address& value);
std::string format_value(const std::vector<std::string>& value);
std::string format_value(const std::vector<socket_address>& value);

// An absent value is written as empty text.
template <class Value>
std::string format_value(const std::optional<Value>& value) {
    return value.has_value() ? format_value(*value) : std::string{};
}

} // namespace carawayway::config
