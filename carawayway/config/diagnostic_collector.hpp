// Appends the diagnostics of one file to a list, up to a maximum number.
#pragma once

#include "carawayway/config/diagnostic.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace carawayway::config {

// The line, section and key that a diagnostic refers to.
struct diagnostic_location {
    std::size_t line = 0;
    std::string_view section;
    std::string_view key;
};

class diagnostic_collector {
public:
    diagnostic_collector(std::string_view file, std::vector<diagnostic>& diagnostics)
        : m_file(file), m_initial_count(diagnostics.size()), m_diagnostics(diagnostics) {}

    // Escapes control characters in the section and key and truncates long names, since they come from the
    // file.
    void add(const diagnostic_location& location, std::string expected, std::string nearest = {});

    // Whether no diagnostic was added through this collector.
    bool empty() const { return m_diagnostics.size() == m_initial_count; }

    // Whether further diagnostics are dropped, so that expensive checks can stop.
    bool is_full() const { return m_diagnostics.size() - m_initial_count >= maximum_diagnostics; }

private:
    // Limits the memory and time spent on a malicious file.
    static constexpr std::size_t maximum_diagnostics = 100;

    std::string m_file;
    std::size_t m_initial_count; // size of `m_diagnostics` at construction
    std::vector<diagnostic>& m_diagnostics;
};

} // namespace carawayway::config
