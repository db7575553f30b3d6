// Formats a diagnostic as one line.
#include "carawayway/config/diagnostic.hpp"

#include <fmt/format.h>

namespace carawayway::config {

std::string to_string(const diagnostic& item) {
    std::string text = item.file;
    if (item.line != 0) {
        text += fmt::format("{}{}", text.empty() ? "line " : ":", item.line);
    }
    if (!text.empty()) {
        text += ": ";
    }
    if (!item.section.empty()) {
        text += fmt::format("[{}]{}", item.section, item.key.empty() ? ": " : " ");
    }
    if (!item.key.empty()) {
        text += item.key + ": ";
    }
    text += "expected " + item.expected;
    if (!item.nearest.empty()) {
        text += fmt::format("; nearest known {} {}", item.key.empty() ? "section" : "key", item.nearest);
    }
    return text;
}

} // namespace carawayway::config
