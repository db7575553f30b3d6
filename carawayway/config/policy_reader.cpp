// Converts INI sections to a policy.
#include "carawayway/config/policy_reader.hpp"

#include "carawayway/client_blocks/address_prefix.hpp"
#include "carawayway/config/key_check.hpp"
#include "carawayway/config/policy_fields.hpp"
#include "carawayway/config/policy_validator.hpp"
#include "carawayway/config/section_reader.hpp"

#include <utility>

namespace carawayway::config {

namespace {

class policy_builder {
public:
    explicit policy_builder(diagnostic_collector& diagnostics) : m_diagnostics(diagnostics) {}

    policy build(const ini_document& document) {
        for (const auto& section : document.sections()) {
            read(section);
        }
        return std::move(m_policy);
    }

private:
    void read(const ini_section& section) {
        const section_reader reader(document_kind::policy, section, m_diagnostics);
        if (section.kind == "policy") {
            visit_fields(m_policy, reader);
        } else if (section.kind == "region") {
            read_item(m_policy.regions, section, reader);
        } else if (section.kind == "domain") {
            read_item(m_policy.failure_domains, section, reader);
        } else if (section.kind == "service") {
            read_item(m_policy.services, section, reader);
        } else if (section.kind == "server") {
            read_item(m_policy.servers, section, reader);
        } else if (section.kind == "client_blocks") {
            read_client_blocks(section);
        } else if (section.kind == "drain") {
            visit_drain_fields(m_policy, reader);
        }
    }

    template <class Item>
    static void read_item(std::vector<Item>& items, const ini_section& section,
                          const section_reader& reader) {
        Item item;
        item.name = section.name;
        visit_fields(item, reader);
        items.push_back(std::move(item));
    }

    void read_client_blocks(const ini_section& section) {
        const auto* const description = find_key(document_kind::policy, section.kind, prefix_placeholder);
        for (const auto& item : section.keys) {
            if (!client_blocks::address_prefix::parse(item.key).has_value()) {
                m_diagnostics.add({item.line, section.title(), item.key}, std::string(expected_prefix));
            }
            if (!is_valid_value(*description, item.value)) {
                m_diagnostics.add({item.line, section.title(), item.key}, expected_value(*description));
            }
            m_policy.client_blocks.push_back({item.key, item.value});
        }
    }

    policy m_policy;
    diagnostic_collector& m_diagnostics;
};

// Adds the file and the line numbers to the diagnostics of the validator.
void add_locations(std::string_view text, std::string_view file, std::vector<diagnostic>& found) {
    std::vector<diagnostic> unused;
    diagnostic_collector collector(file, unused);
    const auto document = ini_document::parse(text, collector);
    for (auto& item : found) {
        item.file = file;
        item.line = document.has_value() ? document->line_of(item.section, item.key) : 0;
    }
}

} // namespace

std::optional<policy> read_policy(std::string_view text, std::string_view file,
                                  std::vector<diagnostic>& diagnostics) {
    diagnostic_collector collector(file, diagnostics);
    const auto document = ini_document::parse(text, collector);
    if (!document.has_value()) {
        return std::nullopt;
    }
    check_structure(document_kind::policy, *document, collector);
    auto result = policy_builder(collector).build(*document);
    if (!collector.empty()) {
        return std::nullopt;
    }
    return result;
}

std::optional<policy> read_valid_policy(std::string_view text, std::string_view file,
                                        std::vector<diagnostic>& diagnostics) {
    auto result = read_policy(text, file, diagnostics);
    if (!result.has_value()) {
        return std::nullopt;
    }
    auto found = validate(*result);
    if (found.empty()) {
        return result;
    }
    add_locations(text, file, found);
    diagnostics.insert(diagnostics.end(), found.begin(), found.end());
    return std::nullopt;
}

} // namespace carawayway::config
