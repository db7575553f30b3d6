// Reads the keys of one section into members and checks them against the table of known keys.
#pragma once

#include "carawayway/config/diagnostic_collector.hpp"
#include "carawayway/config/ini_document.hpp"
#include "carawayway/config/key_table.hpp"
#include "carawayway/config/value_text.hpp"

#include <string_view>

namespace carawayway::config {

// A visitor for the functions in policy_fields.hpp, settings_fields.hpp and gateway_settings_fields.hpp.
class section_reader {
public:
    section_reader(document_kind document, const ini_section& section, diagnostic_collector& diagnostics)
        : m_document(document), m_section(section), m_diagnostics(diagnostics) {}

    // Leaves `value` unchanged if the key is missing or its text is invalid.
    template <class Value>
    void operator()(std::string_view key, Value& value) const {
        const ini_key* const item = find_valid_key(key);
        if (item != nullptr) {
            read_value(*item, value);
        }
    }

private:
    template <class Value>
    void read_value(const ini_key& item, Value& value) const {
        if (!item.value.empty()) {
            parse_value(item.value, value);
        }
    }

    // Returns the key if it is present with a valid value. Otherwise returns null, and adds a diagnostic if
    // the value is invalid or the key is required.
    const ini_key* find_valid_key(std::string_view key) const;

    document_kind m_document;
    const ini_section& m_section;
    diagnostic_collector& m_diagnostics;
};

// Reports unknown sections and keys, missing or unexpected section names, and missing sections.
void check_structure(document_kind document, const ini_document& text, diagnostic_collector& diagnostics);

} // namespace carawayway::config
