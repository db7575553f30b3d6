// Collects diagnostics with text that is safe to print.
#include "carawayway/config/diagnostic_collector.hpp"

#include <fmt/format.h>

#include <utility>

namespace carawayway::config {

namespace {

constexpr std::size_t maximum_shown_length = 80; // bytes

// Escapes control characters: the text may be printed to a terminal.
std::string printable(std::string_view text) {
    std::string shown;
    for (const char character : text.substr(0, maximum_shown_length)) {
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
