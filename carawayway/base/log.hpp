// Structured logs on standard output: one line an event, `key=value` fields.
#pragma once

#include <fmt/format.h>

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

namespace carawayway::base {

enum class log_level : std::uint8_t { debug, info, warning, error };

std::optional<log_level> log_level_from_name(std::string_view name);

// One field of a log line. Values with spaces, quotes or control characters are quoted and escaped.
struct log_field {
    template <class Value>
    log_field(std::string_view field_key, const Value& field_value)
        : key(field_key), value(fmt::format("{}", field_value)) {}

    std::string_view key;
    std::string value;
};

// The lowest level that is written; process-wide because standard output is.
void set_log_level(log_level level);

// Lets callers skip the making of fields for lines that are not written.
bool is_logged(log_level level);

// Thread-safe and never blocks. Writes "time=... level=... event=... key=value ...\n" in one call, or drops
// the line.
void log(log_level level, std::string_view event, std::initializer_list<log_field> fields = {});

// Lines that were dropped because standard output did not take them at once.
std::uint64_t dropped_log_lines();

// The line without its time stamp, for tests.
std::string format_log_line(log_level level, std::string_view event, std::initializer_list<log_field> fields);

} // namespace carawayway::base
