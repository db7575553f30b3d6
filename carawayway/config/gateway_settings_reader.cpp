// Converts INI sections to the settings of a gateway and checks that they are consistent.
#include "carawayway/config/gateway_settings_reader.hpp"

#include "carawayway/config/gateway_settings_fields.hpp"
#include "carawayway/config/section_reader.hpp"

#include <fmt/format.h>

namespace carawayway::config {

namespace {

void read_section(const ini_section& section, const section_reader& reader, gateway_settings& settings) {
    if (section.kind == "gateway") {
        visit_gateway_fields(settings, reader);
    } else if (section.kind == "store") {
        visit_store_fields(settings, reader);
    } else if (section.kind == "machine") {
        visit_machine_fields(settings, reader);
    } else if (section.kind == "domain") {
        std::string region;
        visit_gateway_domain_fields(region, reader);
        settings.region_of_domain[section.name] = region;
    }
}

void check_own_region(const gateway_settings& settings, const ini_document& document,
                      diagnostic_collector& diagnostics) {
    const auto own = settings.region_of_domain.find(settings.failure_domain);
    if (own == settings.region_of_domain.end()) {
        diagnostics.add({document.line_of("gateway", "failure_domain"), "gateway", "failure_domain"},
                        "the name of a [domain] section");
    } else if (own->second != settings.region) {
        diagnostics.add({document.line_of("gateway", "region"), "gateway", "region"},
                        fmt::format("{}, the region of the failure domain", own->second));
    }
}

} // namespace

std::optional<gateway_settings> read_gateway_settings(std::string_view text, std::string_view file,
                                                      std::vector<diagnostic>& diagnostics) {
    diagnostic_collector collector(file, diagnostics);
    const auto document = ini_document::parse(text, collector);
    if (!document.has_value()) {
        return std::nullopt;
    }
    check_structure(document_kind::gateway_settings, *document, collector);
    gateway_settings settings;
    for (const auto& section : document->sections()) {
        read_section(section, section_reader(document_kind::gateway_settings, section, collector), settings);
    }
    if (collector.empty()) {
        check_own_region(settings, *document, collector);
    }
    if (!collector.empty()) {
        return std::nullopt;
    }
    return settings;
}

} // namespace carawayway::config
