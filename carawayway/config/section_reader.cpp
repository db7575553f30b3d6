// Checks of presence, structure and single values.
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

void check_section_name(const section_description& known, const ini_section& section,
                        diagnostic_collector& diagnostics) {
    if (known.naming == section_naming::single && !section.name.empty()) {
        diagnostics.add({section.line, section.title(), {}},
                        fmt::format("[{}] without a name", known.section));
    }
    if (known.naming == section_naming::named && !is_name(section.name)) {
        diagnostics.add(
            {section.line, section.title(), {}},
            fmt::format("[{} NAME] with a name of 1 to 63 characters a-z, 0-9 and -", known.section));
    }
}

void check_keys(const section_description& known, const ini_section& section,
                diagnostic_collector& diagnostics) {
    if (known.keys == section_keys::prefixes) {
        return; // the reader of the section checks them
    }
    for (const auto& item : section.keys) {
        if (diagnostics.full()) {
            return;
        }
        if (find_key(known.document, known.section, item.key) == nullptr) {
            diagnostics.add({item.line, section.title(), item.key},
                            fmt::format("a known key of [{}]", known.section),
                            nearest_key(known.document, known.section, item.key));
        }
    }
}

void check_section(document_kind document, const ini_section& section, diagnostic_collector& diagnostics) {
    const auto* const known = find_section(document, section.kind);
    if (known == nullptr) {
        diagnostics.add({section.line, section.title(), {}}, "a known section",
                        nearest_section(document, section.kind));
        return;
    }
    check_section_name(*known, section, diagnostics);
    check_keys(*known, section, diagnostics);
}

} // namespace

const ini_key* section_reader::checked_key(std::string_view key) const {
    const auto* const known = find_key(m_document, m_section.kind, key);
    assert(known != nullptr);
    const auto* const item = m_section.find(key);
    if (item == nullptr) {
        if (known->required == presence::required) {
            m_diagnostics.add({m_section.line, m_section.title(), key}, expected_value(*known));
        }
        return nullptr;
    }
    if (!accepts(*known, item->value)) {
        m_diagnostics.add({item->line, m_section.title(), key}, expected_value(*known));
        return nullptr;
    }
    return item;
}

void check_structure(document_kind document, const ini_document& text, diagnostic_collector& diagnostics) {
    for (const auto& section : text.sections()) {
        if (diagnostics.full()) {
            return;
        }
        check_section(document, section, diagnostics);
    }
    for (const auto& known : known_sections()) {
        const bool is_missing =
            std::none_of(text.sections().begin(), text.sections().end(),
                         [&known](const ini_section& section) { return section.kind == known.section; });
        if (known.document == document && known.required == presence::required && is_missing) {
            diagnostics.add({0, known.section, {}}, "this section, which is required");
        }
    }
}

} // namespace carawayway::config
