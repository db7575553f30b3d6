// Formatting and writing of log lines.
#include "carawayway/base/log.hpp"

#include <fmt/chrono.h>

#include <array>
#include <atomic>
#include <chrono>
#include <climits>
#include <csignal>
#include <poll.h>
#include <unistd.h>

namespace carawayway::base {

namespace {

constexpr std::array<std::string_view, 4> level_names{"debug", "info", "warning", "error"};

std::atomic<log_level>& minimum_level() {
    static std::atomic<log_level> level{log_level::info};
    return level;
}

bool needs_quotes(std::string_view value) {
    if (value.empty()) {
        return true;
    }
    for (const char character : value) {
        const auto byte = static_cast<unsigned char>(character);
        if (byte <= ' ' || character == '"' || character == '=' || character == '\\' || byte == 0x7f) {
            return true;
        }
    }
    return false;
}

// Lines that were dropped because standard output could not take them.
std::atomic<std::uint64_t>& dropped_lines() {
    static std::atomic<std::uint64_t> count{0};
    return count;
}

// A pipe that poll() reports as writable accepts this many bytes without blocking. Longer lines are cut.
constexpr std::size_t maximum_line_bytes = PIPE_BUF;

// Drops and counts a line that standard output cannot take without blocking.
void write_line(std::string line) {
    if (line.size() > maximum_line_bytes) {
        line.resize(maximum_line_bytes - 1);
        line += '\n';
    }
    pollfd output{STDOUT_FILENO, POLLOUT, 0};
    const bool writable = ::poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
    if (!writable || ::write(STDOUT_FILENO, line.data(), line.size()) < 0) {
        ++dropped_lines();
    }
}

void append_value(std::string& line, std::string_view value) {
    if (!needs_quotes(value)) {
        line += value;
        return;
    }
    line += '"';
    for (const char character : value) {
        const auto byte = static_cast<unsigned char>(character);
        if (character == '"' || character == '\\') {
            line += '\\';
            line += character;
        } else if (byte < ' ' || byte == 0x7f) {
            line += fmt::format("\\x{:02x}", byte);
        } else {
            line += character;
        }
    }
    line += '"';
}

} // namespace

std::optional<log_level> log_level_from_name(std::string_view name) {
    for (std::size_t index = 0; index < level_names.size(); ++index) {
        if (level_names.at(index) == name) {
            return static_cast<log_level>(index);
        }
    }
    return std::nullopt;
}

void set_log_level(log_level level) {
    minimum_level().store(level);
}

bool is_logged(log_level level) {
    return level >= minimum_level().load();
}

std::uint64_t dropped_log_lines() {
    return dropped_lines().load();
}

void ignore_end_of_log_reader() {
    std::signal(SIGPIPE, SIG_IGN);
}

std::string format_log_line(log_level level, std::string_view event,
                            std::initializer_list<log_field> fields) {
    std::string line = fmt::format("level={} event=", level_names.at(static_cast<std::size_t>(level)));
    append_value(line, event);
    for (const log_field& field : fields) {
        line += ' ';
        line += field.key;
        line += '=';
        append_value(line, field.value);
    }
    return line;
}

void log(log_level level, std::string_view event, std::initializer_list<log_field> fields) {
    if (level < minimum_level().load()) {
        return;
    }
    const auto now =
        std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    const auto seconds = std::chrono::floor<std::chrono::seconds>(now);
    const std::string line = fmt::format("time={:%Y-%m-%dT%H:%M:%S}.{:03}Z {}\n", seconds,
                                         (now - seconds).count(), format_log_line(level, event, fields));
    write_line(line);
}

} // namespace carawayway::base
