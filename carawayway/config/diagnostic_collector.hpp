// Appends the diagnostics of one file to a list.
#pragma once

#include "carawayway/config/diagnostic.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace carawayway::config {

// Where a problem is.
struct diagnostic_place {
    std::size_t line = 0;
    std::string_view section;
    std::string_view key;
};

class diagnostic_collector {
public:
    diagnostic_collector(std::string_view file, std::vector<diagnostic>& diagnostics)
        : m_file(file), m_first(diagnostics.size()), m_diagnostics(diagnostics) {}

    // Control characters of `place` are escaped and long names cut, since they come from the file.
    void add(const diagnostic_place& place, std::string expected, std::string nearest = {});

    bool empty() const { return m_diagnostics.size() == m_first; }

    // Further diagnostics are dropped; costly checks can stop.
    bool full() const { return m_diagnostics.size() - m_first >= maximum_diagnostics; }

private:
    // Bounds the memory and time that a hostile file costs.
    static constexpr std::size_t maximum_diagnostics = 100;

    std::string m_file;
    std::size_t m_first;
    std::vector<diagnostic>& m_diagnostics;
};

} // namespace carawayway::config
