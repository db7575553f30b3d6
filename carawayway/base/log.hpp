// Structured logs on standard output: one line per event with `key=value` fields.
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

// Sets the lowest level that is written. It applies to the whole process, which shares standard output.
void set_log_level(log_level level);

// Whether lines of this level are written; lets callers skip building the fields of other lines.
bool is_logged(log_level level);

// Thread-safe and never blocks. Writes "time=... level=... event=... key=value ...\n" in one call, or drops
// the line.
void log(log_level level, std::string_view event, std::initializer_list<log_field> fields = {});

// Lets the process outlive the reader of its log: lines that nobody reads are dropped, without SIGPIPE.
void ignore_end_of_log_reader();

// The number of lines dropped because standard output could not take them without blocking.
std::uint64_t dropped_log_lines();

// The text of a line without its time stamp.
std::string format_log_line(log_level level, std::string_view event, std::initializer_list<log_field> fields);

} // namespace carawayway::base
