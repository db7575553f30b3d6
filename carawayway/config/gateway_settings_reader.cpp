// Turns INI sections into the settings of a gateway and checks them against each other.
#include "carawayway/config/gateway_settings_reader.hpp"

#include "carawayway/config/section_reader.hpp"

#include <fmt/format.h>

namespace carawayway::config {

namespace {

void read_gateway(const section_reader& visit, gateway_settings& settings) {
    visit("name", settings.name);
    visit("failure_domain", settings.failure_domain);
    visit("region", settings.region);
    visit("caller_address", settings.caller_address);
    visit("readiness_address", settings.readiness_address);
    visit("lookup_address", settings.lookup_address);
    visit("peer_address", settings.peer_address);
    visit("metrics_address", settings.metrics_address);
    visit("seeds", settings.seeds);
    visit("bounds", settings.bounds);
    visit("log_level", settings.log_level);
    visit("caller_connections", settings.caller_connections);
    visit("body_memory_bytes", settings.body_memory_bytes);
}

void read_section(const ini_section& section, const section_reader& reader, gateway_settings& settings) {
    if (section.kind == "gateway") {
        read_gateway(reader, settings);
    } else if (section.kind == "store") {
        reader("address", settings.store_address);
        reader("shortest_lease_ms", settings.shortest_lease);
    } else if (section.kind == "domain") {
        std::string region;
        reader("region", region);
        settings.region_of_domain[section.name] = region;
    }
}

void check_own_region(const gateway_settings& settings, const ini_document& document,
                      diagnostic_collector& diagnostics) {
    const auto own = settings.region_of_domain.find(settings.failure_domain);
    if (own == settings.region_of_domain.end()) {
        diagnostics.add({document.line_of("gateway", "failure_domain"), "gateway", "failure_domain"},
                        "the name of a [domain]");
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
    check_structure(document_kind::gateway, *document, collector);
    gateway_settings settings;
    for (const auto& section : document->sections()) {
        read_section(section, section_reader(document_kind::gateway, section, collector), settings);
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
