// `carawayway check-configuration`: checks a configuration before operators write it to the store.
#include "carawayway/cli/arguments.hpp"
#include "carawayway/cli/configuration_report.hpp"
#include "carawayway/cli/settings_file.hpp"
#include "carawayway/cli/store_listing.hpp"
#include "carawayway/config/gateway_settings_reader.hpp"
#include "carawayway/gateway/message_memory_size.hpp"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>

DEFINE_string(in_force, "", "file with the configuration in force; differences from it are printed");
DEFINE_string(store, "",
              "address (IP:port) of the store; its configuration is compared, and its servers are counted");
DECLARE_string(settings);
DECLARE_bool(json);

namespace carawayway::cli {

namespace {

// Prints why the file cannot be read.
std::optional<std::string> read_input(const std::string& file) {
    auto text = read_file(file);
    if (!text) {
        fmt::print(stderr, "carawayway check-configuration: cannot read {}\n", file);
    }
    return text;
}

// Prints the diagnostics of the file. Returns std::nullopt when the file is missing or invalid.
std::optional<routing::deployment_limits> read_deployment(const std::string& file) {
    const auto text = read_input(file);
    if (!text) {
        return std::nullopt;
    }
    std::vector<config::diagnostic> diagnostics;
    const auto settings = config::read_gateway_settings(*text, file, diagnostics);
    for (const auto& item : diagnostics) {
        fmt::print(stderr, "{}\n", config::to_string(item));
    }
    if (!settings) {
        return std::nullopt;
    }
    const auto held =
        gateway::largest_request_bytes(gateway::message_memory_bytes(settings->memory_megabytes));
    routing::deployment_limits deployment;
    deployment.largest_body_bytes = std::min<std::uint64_t>(held, settings->largest_body_bytes);
    for (const auto& [domain, region] : settings->region_of_domain) {
        deployment.regions.insert(region);
    }
    return deployment;
}

} // namespace

int run_check_configuration(const std::vector<std::string>& positional) {
    constexpr int bad_input = static_cast<int>(check_status::errors);
    if (positional.size() != 1 || (!FLAGS_in_force.empty() && !FLAGS_store.empty())) {
        fmt::print(stderr,
                   "carawayway check-configuration: exactly one file NEW is required, and at most one "
                   "of --in_force and --store\n");
        return bad_input;
    }
    const auto& file = positional.front();
    const auto proposed = read_input(file);
    auto deployment = FLAGS_settings.empty() ? routing::deployment_limits{} : read_deployment(FLAGS_settings);
    auto in_force = FLAGS_in_force.empty() ? std::nullopt : read_input(FLAGS_in_force);
    if (!proposed || !deployment || (!in_force && !FLAGS_in_force.empty())) {
        return bad_input;
    }
    if (!FLAGS_store.empty()) {
        std::string reason;
        auto contents = store_listing(FLAGS_store, perform).read(reason);
        if (!contents) {
            fmt::print(stderr, "carawayway check-configuration: {}\n", reason);
            return bad_input;
        }
        if (!contents->configuration) {
            fmt::print(stderr, "carawayway check-configuration: the store has no configuration to compare\n");
        }
        in_force = std::move(contents->configuration);
        deployment->servers_by_service = std::move(contents->servers_by_service);
    }
    const auto findings = check_texts(*proposed, in_force, *deployment);
    fmt::print("{}", format_report(file, findings, FLAGS_json ? report_format::json : report_format::text));
    return static_cast<int>(status_of(findings));
}

} // namespace carawayway::cli
