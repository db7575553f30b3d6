// A problem found in a settings or policy file.
#pragma once

#include <cstddef>
#include <string>

namespace carawayway::config {

struct diagnostic {
    std::string file;
    std::size_t line = 0; // starts at 1; 0 if the problem has no single line
    std::string section;  // kind and name, for example "service varaus"; empty for the whole file
    std::string key;      // empty for the whole section
    std::string expected; // what is valid at this location
    std::string nearest;  // most similar known key, or section if `key` is empty; may be empty

    bool operator==(const diagnostic&) const = default;
};

// Formats as "file:line: [section] key: expected ...; nearest known key ..."; empty parts are left out.
std::string to_string(const diagnostic& item);

} // namespace carawayway::config
