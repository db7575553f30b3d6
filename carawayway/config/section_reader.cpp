// Checks that required sections and keys are present, that all are known, and that each value is valid.
#include "carawayway/config/section_reader.hpp"

#include "carawayway/config/key_check.hpp"
#include "carawayway/config/nearest_name.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <string>
#include <vector>

namespace carawayway::config {

namespace {

std::string nearest_section(document_kind document, std::string_view kind) {
    std::vector<std::string_view> candidates;
    for (const auto& section : known_sections()) {
        if (section.document == document) {
            candidates.push_back(section.section);
        }
    }
    return std::string(nearest_name(kind, candidates));
}

std::string nearest_key(document_kind document, std::string_view section, std::string_view key) {
    std::vector<std::string_view> candidates;
    for (const auto& item : known_keys()) {
        if (item.document == document && item.section == section) {
            candidates.push_back(item.key);
        }
    }
    return std::string(nearest_name(key, candidates));
}

void check_section_name(const section_description& description, const ini_section& section,
                        diagnostic_collector& diagnostics) {
    if (description.naming == section_naming::single && !section.name.empty()) {
        diagnostics.add({section.line, section.title(), {}},
                        fmt::format("[{}] without a name", description.section));
    }
    if (description.naming == section_naming::named && !is_valid_name(section.name)) {
        diagnostics.add(
            {section.line, section.title(), {}},
            fmt::format("[{} NAME] with a name of 1 to 63 characters a-z, 0-9 and -", description.section));
    }
}

void check_keys(const section_description& description, const ini_section& section,
                diagnostic_collector& diagnostics) {
    if (description.keys == section_keys::prefixes) {
        return; // checked by the reader of the section
    }
    for (const auto& item : section.keys) {
        if (diagnostics.is_full()) {
            return;
        }
        if (find_key(description.document, description.section, item.key) == nullptr) {
            diagnostics.add({item.line, section.title(), item.key},
                            fmt::format("a known key of [{}]", description.section),
                            nearest_key(description.document, description.section, item.key));
        }
    }
}

void check_section(document_kind document, const ini_section& section, diagnostic_collector& diagnostics) {
    const auto* const description = find_section(document, section.kind);
    if (description == nullptr) {
        diagnostics.add({section.line, section.title(), {}}, "a known section",
                        nearest_section(document, section.kind));
        return;
    }
    check_section_name(*description, section, diagnostics);
    check_keys(*description, section, diagnostics);
}

} // namespace

const ini_key* section_reader::find_valid_key(std::string_view key) const {
    const auto* const description = find_key(m_document, m_section.kind, key);
    assert(description != nullptr);
    const auto* const item = m_section.find(key);
    if (item == nullptr) {
        if (description->requirement == requirement_level::required) {
            m_diagnostics.add({m_section.line, m_section.title(), key}, expected_value(*description));
        }
        return nullptr;
    }
    if (!is_valid_value(*description, item->value)) {
        m_diagnostics.add({item->line, m_section.title(), key}, expected_value(*description));
        return nullptr;
    }
    return item;
}

void check_structure(document_kind document, const ini_document& text, diagnostic_collector& diagnostics) {
    for (const auto& section : text.sections()) {
        if (diagnostics.is_full()) {
            return;
        }
        check_section(document, section, diagnostics);
    }
    for (const auto& description : known_sections()) {
        const bool is_missing = std::none_of(
            text.sections().begin(), text.sections().end(),
            [&description](const ini_section& section) { return section.kind == description.section; });
        if (description.document == document && description.requirement == requirement_level::required &&
            is_missing) {
            diagnostics.add({0, description.section, {}}, "this required section");
        }
    }
}

} // namespace carawayway::config
