// One problem in a settings or policy file.
#pragma once

#include <cstddef>
#include <string>

namespace carawayway::config {

struct diagnostic {
    std::string file;
    std::size_t line = 0; // from 1; 0: no single line
    std::string section;  // as written, for example "service varaus"; empty: the whole file
    std::string key;      // empty: the whole section
    std::string expected; // what would have been accepted
    std::string nearest;  // the known key, or section when `key` is empty, that is most similar; may be empty

    bool operator==(const diagnostic&) const = default;
};

// "file:line: [section] key: expected ...; nearest known key ...", without the parts that are empty.
std::string to_string(const diagnostic& item);

} // namespace carawayway::config
