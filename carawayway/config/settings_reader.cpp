// Converts INI sections to the settings of an entry instance and checks that they are consistent.
#include "carawayway/config/settings_reader.hpp"

#include "carawayway/config/section_reader.hpp"
#include "carawayway/config/settings_fields.hpp"

#include <fmt/format.h>

#include <unordered_set>
#include <utility>

namespace carawayway::config {

namespace {

void read_section(const ini_section& section, const section_reader& reader, instance_settings& settings) {
    if (section.kind == "entry") {
        visit_entry_fields(settings, reader);
    } else if (section.kind == "platform") {
        visit_platform_fields(settings, reader);
    } else if (section.kind == "timing") {
        visit_timing_fields(settings, reader);
    } else if (section.kind == "limits") {
        visit_limits_fields(settings, reader);
    } else if (section.kind == "peer") {
        peer_seed seed;
        seed.name = section.name;
        visit_peer_fields(seed, reader);
        settings.seeds.push_back(std::move(seed));
    }
}

class settings_checker {
public:
    settings_checker(const instance_settings& settings, const ini_document& document,
                     diagnostic_collector& diagnostics)
        : m_settings(settings), m_document(document), m_diagnostics(diagnostics) {}

    void run() {
        check_timing();
        check_own_address("caller_address", m_settings.caller_address);
        check_own_address("peer_address", m_settings.peer_address);
        check_own_address("operator_address", m_settings.operator_address);
        for (const auto& seed : m_settings.seeds) {
            check_seed(seed);
        }
    }

private:
    void add(std::string_view title, std::string_view key, std::string expected) {
        m_diagnostics.add({m_document.line_of(title, key), title, key}, std::move(expected));
    }

    void check_timing() {
        // A single lost heartbeat must not end the ownership of servers.
        if (m_settings.heartbeat_interval * 2 > m_settings.ownership_term) {
            add("timing", "heartbeat_ms", "at most half of ownership_term_ms");
        }
        // An instance must detect its own pause before others may take over its servers.
        if (m_settings.pause_limit >= m_settings.ownership_term) {
            add("timing", "pause_limit_ms", "less than ownership_term_ms");
        }
    }

    void check_own_address(std::string_view key, const socket_address& address) {
        if (!record_address(address)) {
            add("entry", key, "an address that no other setting uses");
        }
    }

    void check_seed(const peer_seed& seed) {
        const std::string title = "peer " + seed.name;
        if (seed.name == m_settings.name) {
            add(title, {}, "a peer other than this entry instance");
        }
        if (!record_address(seed.peer_address)) {
            add(title, "peer_address", "an address that no other setting uses");
        }
        if (!record_address(seed.caller_address)) {
            add(title, "caller_address", "an address that no other setting uses");
        }
        if (seed.failure_domain == m_settings.failure_domain && seed.region != m_settings.region) {
            add(title, "region", fmt::format("{}, the region of its failure domain", m_settings.region));
        }
    }

    // Returns false if another setting already uses the address. Port 0 never conflicts, since it stands for
    // any free port.
    bool record_address(const socket_address& address) {
        return address.port == 0 || m_used_addresses.insert(format_value(address)).second;
    }

    const instance_settings& m_settings;
    const ini_document& m_document;
    diagnostic_collector& m_diagnostics;
    std::unordered_set<std::string> m_used_addresses;
};

} // namespace

std::optional<instance_settings> read_settings(std::string_view text, std::string_view file,
                                               std::vector<diagnostic>& diagnostics) {
    diagnostic_collector collector(file, diagnostics);
    const auto document = ini_document::parse(text, collector);
    if (!document.has_value()) {
        return std::nullopt;
    }
    check_structure(document_kind::entry_settings, *document, collector);
    instance_settings settings;
    for (const auto& section : document->sections()) {
        read_section(section, section_reader(document_kind::entry_settings, section, collector), settings);
    }
    if (collector.empty()) {
        settings_checker(settings, *document, collector).run();
    }
    if (!collector.empty()) {
        return std::nullopt;
    }
    return settings;
}

} // namespace carawayway::config
