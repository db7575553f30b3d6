// Collects diagnostics with text that is safe to print.
#include "carawayway/config/diagnostic_collector.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace carawayway::config {

namespace {

constexpr std::size_t maximum_shown_length = 80; // bytes

// The start of the text. Cuts between characters, because diagnostics go into JSON answers, which must be
// UTF-8.
std::string_view shortened(std::string_view text) {
    std::size_t length = std::min(text.size(), maximum_shown_length);
    while (length > 0 && length < text.size() &&
           (static_cast<unsigned char>(text[length]) & 0xC0U) == 0x80U) {
        --length;
    }
    return text.substr(0, length);
}

// Escapes control characters: the text may be printed to a terminal.
std::string printable(std::string_view text) {
    std::string shown;
    for (const char character : shortened(text)) {
        const auto byte = static_cast<unsigned char>(character);
        if (byte < ' ' || byte == 0x7F) {
            shown += fmt::format("\\x{:02x}", byte);
        } else {
            shown += character;
        }
    }
    if (text.size() > maximum_shown_length) {
        shown += "...";
    }
    return shown;
}

} // namespace

void diagnostic_collector::add(const diagnostic_place& place, std::string expected, std::string nearest) {
    if (full()) {
        return;
    }
    m_diagnostics.push_back({m_file, place.line, printable(place.section), printable(place.key),
                             std::move(expected), std::move(nearest)});
}

} // namespace carawayway::config
