// Edits the lines of the document; the INI parser tells the line of each key.
#include "carawayway/operators/policy_text.hpp"

#include "carawayway/config/ini_document.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <random>
#include <vector>

namespace carawayway::operators {

namespace {

using line_list = std::vector<std::string>;

line_list split_lines(std::string_view text) {
    line_list lines;
    while (!text.empty()) {
        const auto end = std::min(text.find('\n'), text.size());
        lines.emplace_back(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return lines;
}

std::string join_lines(const line_list& lines) {
    std::string text;
    for (const auto& line : lines) {
        text += line;
        text += '\n';
    }
    return text;
}

const config::ini_section* find_section(const config::ini_document& document, std::string_view title) {
    const auto& sections = document.sections();
    const auto found =
        std::find_if(sections.begin(), sections.end(),
                     [title](const config::ini_section& section) { return section.title() == title; });
    return found == sections.end() ? nullptr : &*found;
}

std::string assignment(std::string_view key, const std::string& value) {
    return fmt::format("{} = {}", key, value);
}

void set_value_in_section(line_list& lines, const config::ini_section& section, std::string_view key,
                          const std::optional<std::string>& value) {
    const auto* existing = section.find(key);
    if (existing != nullptr) {
        const auto line = lines.begin() + static_cast<std::ptrdiff_t>(existing->line) - 1;
        if (value) {
            *line = assignment(key, *value);
        } else {
            lines.erase(line);
        }
    } else if (value) {
        const auto last = section.keys.empty() ? section.line : section.keys.back().line;
        lines.insert(lines.begin() + static_cast<std::ptrdiff_t>(last), assignment(key, *value));
    }
}

} // namespace

std::string with_value(std::string_view document, std::string_view section, std::string_view key,
                       const std::optional<std::string>& value) {
    std::vector<config::diagnostic> unused;
    config::diagnostic_collector collector("policy", unused);
    const auto parsed = config::ini_document::parse(document, collector);
    if (!parsed) {
        return std::string(document);
    }
    auto lines = split_lines(document);
    if (const auto* found = find_section(*parsed, section)) {
        set_value_in_section(lines, *found, key, value);
    } else if (value) {
        lines.insert(lines.end(), {"", fmt::format("[{}]", section), assignment(key, *value)});
    }
    return join_lines(lines);
}

std::string fresh_change_id() {
    std::random_device random;
    return fmt::format("change-{:08x}{:08x}{:08x}", random(), random(), random());
}

std::string with_fresh_change_id(std::string_view document) {
    return with_value(document, "policy", "change_id", fresh_change_id());
}

} // namespace carawayway::operators
