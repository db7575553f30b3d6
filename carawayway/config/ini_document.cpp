// Parses INI text with Boost.PropertyTree, which does not keep line numbers; a scan by the same rules adds
// them.
#include "carawayway/config/ini_document.hpp"

#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <exception>
#include <locale>
#include <sstream>
#include <unordered_set>
#include <utility>

namespace carawayway::config {

namespace {

using boost::property_tree::ptree;

constexpr std::string_view white_space = " \t\n\v\f\r"; // trimmed by PropertyTree in the classic locale

std::string_view trim(std::string_view text) {
    const auto first = text.find_first_not_of(white_space);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(white_space) - first + 1);
}

// Finds the sections and keys with their line numbers. Keeps sections without keys, which PropertyTree drops.
class line_scanner {
public:
    explicit line_scanner(diagnostic_collector& diagnostics) : m_diagnostics(diagnostics) {}

    std::vector<ini_section> scan(std::string_view text) {
        while (!text.empty()) {
            const auto end = std::min(text.find('\n'), text.size());
            ++m_line;
            scan_line(trim(text.substr(0, end)));
            text.remove_prefix(std::min(end + 1, text.size()));
        }
        return std::move(m_sections);
    }

private:
    void scan_line(std::string_view line) {
        if (line.empty() || line.front() == ';' || line.front() == '#') {
            return;
        }
        if (line.front() == '[') {
            open_section(line);
            return;
        }
        const std::string_view key = trim(line.substr(0, line.find('=')));
        if (m_sections.empty()) {
            m_diagnostics.add({m_line, {}, key}, "a section header before the first key");
            return;
        }
        m_sections.back().keys.push_back({std::string(key), {}, m_line});
    }

    void open_section(std::string_view line) {
        const auto end = line.find(']');
        const std::string_view title = trim(line.substr(1, end - 1));
        const auto kind_end = std::min(title.find_first_of(white_space), title.size());
        const std::string_view name = trim(title.substr(kind_end));
        m_sections.push_back({std::string(title.substr(0, kind_end)), std::string(name), m_line, {}});
        if (end + 1 != line.size()) {
            m_diagnostics.add({m_line, title, {}}, "nothing after the section header");
        }
        if (!m_titles.insert(m_sections.back().title()).second) {
            m_diagnostics.add({m_line, title, {}}, "a unique section name");
        }
    }

    std::size_t m_line = 0;
    std::vector<ini_section> m_sections;
    std::unordered_set<std::string> m_titles;
    diagnostic_collector& m_diagnostics;
};

std::optional<ptree> read_tree(std::string_view text, diagnostic_collector& diagnostics) {
    ptree tree;
    std::istringstream stream{std::string(text)};
    stream.imbue(std::locale::classic());
    try {
        boost::property_tree::read_ini(stream, tree);
    } catch (const boost::property_tree::ini_parser_error& error) {
        diagnostics.add({error.line(), {}, {}}, fmt::format("valid INI text ({})", error.message()));
        return std::nullopt;
    }
    return tree;
}

// Copies the values in order of appearance instead of by path, since PropertyTree splits a path at every '.'.
void copy_values(const ptree& tree, std::vector<ini_section>& sections) {
    auto tree_section = tree.begin();
    for (auto& section : sections) {
        if (section.keys.empty()) {
            continue;
        }
        auto value = tree_section->second.begin();
        for (auto& key : section.keys) {
            assert(value->first == key.key);
            key.value = value->second.data();
            ++value;
        }
        ++tree_section;
    }
}

std::optional<std::vector<ini_section>> read_sections(std::string_view text,
                                                      diagnostic_collector& diagnostics) {
    const auto tree = read_tree(text, diagnostics);
    if (!tree.has_value()) {
        return std::nullopt;
    }
    auto sections = line_scanner(diagnostics).scan(text);
    if (!diagnostics.empty()) {
        return std::nullopt;
    }
    copy_values(*tree, sections);
    return sections;
}

} // namespace

std::string ini_section::title() const {
    return name.empty() ? kind : kind + " " + name;
}

const ini_key* ini_section::find(std::string_view key) const {
    const auto found =
        std::find_if(keys.begin(), keys.end(), [key](const ini_key& item) { return item.key == key; });
    return found == keys.end() ? nullptr : &*found;
}

std::optional<ini_document> ini_document::parse(std::string_view text, diagnostic_collector& diagnostics) {
    if (text.size() > maximum_bytes) {
        diagnostics.add({}, fmt::format("at most {} bytes", maximum_bytes));
        return std::nullopt;
    }
    try {
        auto sections = read_sections(text, diagnostics);
        if (!sections.has_value()) {
            return std::nullopt;
        }
        ini_document document;
        document.m_sections = std::move(*sections);
        return document;
    } catch (const std::exception& error) {
        diagnostics.add({}, fmt::format("valid INI text ({})", error.what()));
        return std::nullopt;
    }
}

std::size_t ini_document::line_of(std::string_view title, std::string_view key) const {
    for (const auto& section : m_sections) {
        if (section.title() != title) {
            continue;
        }
        const auto* found = section.find(key);
        return found == nullptr ? section.line : found->line;
    }
    return 0;
}

} // namespace carawayway::config
