// A parsed INI document: sections and keys with their line numbers.
#pragma once

#include "carawayway/config/diagnostic_collector.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carawayway::config {

struct ini_key {
    std::string key;
    std::string value;
    std::size_t line = 0;
};

// For example, "[service varaus]" has the kind "service" and the name "varaus".
struct ini_section {
    std::string kind;
    std::string name;
    std::size_t line = 0;
    std::vector<ini_key> keys; // in the order of the document

    std::string title() const; // kind and name as in the header
    const ini_key* find(std::string_view key) const;
};

// Section titles are unique, and keys are unique within their section.
class ini_document {
public:
    // The platform's store accepts values up to 1 MB.
    static constexpr std::size_t maximum_bytes = 1'000'000;

    // Returns nothing, and adds at least one diagnostic, if the text is not valid.
    static std::optional<ini_document> parse(std::string_view text, diagnostic_collector& diagnostics);

    const std::vector<ini_section>& sections() const { return m_sections; }

    // The line of the key, or of its section if there is no such key; 0 if the section is missing, too.
    std::size_t line_of(std::string_view title, std::string_view key) const;

private:
    std::vector<ini_section> m_sections;
};

} // namespace carawayway::config
