// Implements `carawayway check`: reads a file, detects its kind and validates it.
#include "carawayway/config/check_file.hpp"

#include "carawayway/config/gateway_settings_reader.hpp"
#include "carawayway/config/ini_document.hpp"
#include "carawayway/config/policy_reader.hpp"
#include "carawayway/config/settings_reader.hpp"

#include <fmt/format.h>

#include <fstream>

namespace carawayway::config {

namespace {

constexpr int status_valid = 0;
constexpr int status_invalid = 2;

// Reads at most one byte more than the parser accepts, so that it still reports a file that is too large.
std::optional<std::string> read_text(const std::string& file) {
    std::ifstream stream(file, std::ios::binary);
    std::string text(ini_document::maximum_bytes + 1, '\0');
    if (!stream.read(text.data(), static_cast<std::streamsize>(text.size())) && !stream.eof()) {
        return std::nullopt;
    }
    text.resize(static_cast<std::size_t>(stream.gcount()));
    return text;
}

// Number of headers of known sections, for each kind of file. Headers are counted without `ini_document`,
// since the kind must also be detected in a file with syntax errors.
struct section_counts {
    int settings = 0;
    int policy = 0;
    int gateway = 0;
};

void count_section(std::string_view line, section_counts& counts) {
    const auto first = line.find_first_not_of(" \t\r[");
    if (line.empty() || first == std::string_view::npos || line.find('[') >= first) {
        return;
    }
    const auto last = line.find_first_of(" \t\r]", first);
    const std::string_view kind = line.substr(first, last == std::string_view::npos ? last : last - first);
    counts.settings += find_section(document_kind::entry_settings, kind) != nullptr ? 1 : 0;
    counts.policy += find_section(document_kind::policy, kind) != nullptr ? 1 : 0;
    counts.gateway += find_section(document_kind::gateway_settings, kind) != nullptr ? 1 : 0;
}

std::vector<diagnostic> check_text(document_kind kind, const std::string& text, const std::string& file) {
    std::vector<diagnostic> diagnostics;
    if (kind == document_kind::entry_settings) {
        read_settings(text, file, diagnostics);
    } else if (kind == document_kind::gateway_settings) {
        read_gateway_settings(text, file, diagnostics);
    } else {
        read_valid_policy(text, file, diagnostics);
    }
    return diagnostics;
}

} // namespace

std::optional<document_kind> detect_document_kind(std::string_view text) {
    section_counts counts;
    while (!text.empty()) {
        const auto end = text.find('\n');
        count_section(text.substr(0, end), counts);
        text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
    }
    if (counts.settings == 0 && counts.policy == 0 && counts.gateway == 0) {
        return std::nullopt;
    }
    if (counts.gateway > counts.policy && counts.gateway > counts.settings) {
        return document_kind::gateway_settings;
    }
    return counts.settings > counts.policy ? document_kind::entry_settings : document_kind::policy;
}

int run_check(const std::string& file, std::FILE* out) {
    const auto text = read_text(file);
    if (!text.has_value()) {
        fmt::print(out, "{}\n", to_string({file, 0, {}, {}, "a readable file", {}}));
        return status_invalid;
    }
    const auto kind = detect_document_kind(*text);
    if (!kind.has_value()) {
        fmt::print(
            out, "{}\n",
            to_string(
                {file, 0, {}, {}, "settings with [entry] or [gateway], or a policy with [policy]", {}}));
        return status_invalid;
    }
    const auto diagnostics = check_text(*kind, *text, file);
    for (const auto& item : diagnostics) {
        fmt::print(out, "{}\n", to_string(item));
    }
    if (!diagnostics.empty()) {
        return status_invalid;
    }
    fmt::print(out, "{}: valid {}\n", file, *kind == document_kind::policy ? "policy" : "settings");
    return status_valid;
}

} // namespace carawayway::config
