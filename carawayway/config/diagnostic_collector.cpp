// Collects diagnostics and makes names from the file safe to print.
#include "carawayway/config/diagnostic_collector.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace carawayway::config {

namespace {

constexpr std::size_t maximum_printed_bytes = 80;

// Truncates the text between UTF-8 characters, because diagnostics are part of JSON responses, which must be
// valid UTF-8.
std::string_view truncated(std::string_view text) {
    std::size_t length = std::min(text.size(), maximum_printed_bytes);
    while (length > 0 && length < text.size() &&
           (static_cast<unsigned char>(text[length]) & 0xC0U) == 0x80U) {
        --length;
    }
    return text.substr(0, length);
}

// Truncates the text and escapes control characters, since the result may be printed to a terminal.
std::string printable(std::string_view text) {
    std::string printed;
    for (const char character : truncated(text)) {
        const auto byte = static_cast<unsigned char>(character);
        if (byte < ' ' || byte == 0x7F) {
            printed += fmt::format("\\x{:02x}", byte);
        } else {
            printed += character;
        }
    }
    if (text.size() > maximum_printed_bytes) {
        printed += "...";
    }
    return printed;
}

} // namespace

void diagnostic_collector::add(const diagnostic_location& location, std::string expected,
                               std::string nearest) {
    if (is_full()) {
        return;
    }
    m_diagnostics.push_back({m_file, location.line, printable(location.section), printable(location.key),
                             std::move(expected), std::move(nearest)});
}

} // namespace carawayway::config
