// Reads configurations with the decoder of the gateway and collects findings about them.
#include "carawayway/cli/configuration_report.hpp"

#include "carawayway/routing/configuration_check.hpp"
#include "carawayway/routing/configuration_difference.hpp"
#include "platform/configuration_refusal.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include <iterator>

namespace carawayway::cli {

namespace {

using routing::configuration_finding;
using routing::finding_kind;
using routing::finding_severity;

constexpr std::string_view status_name(check_status status) {
    switch (status) {
    case check_status::clean:
        return "clean";
    case check_status::warnings:
        return "warnings";
    case check_status::errors:
        return "errors";
    }
    return "unknown";
}

std::string location_of(const platform::configuration_refusal& refusal) {
    return refusal.location.empty() ? "document" : refusal.location;
}

std::string format_text(const std::string& file, const std::vector<configuration_finding>& findings) {
    std::string text;
    for (const auto& item : findings) {
        text += fmt::format("{}: {}: {}: {} [{}]\n", file, to_string(item.severity), item.location,
                            item.message, to_string(item.kind));
    }
    const auto status = status_of(findings);
    return text + (status == check_status::clean ? fmt::format("{}: clean\n", file) : "");
}

std::string format_json(const std::string& file, const std::vector<configuration_finding>& findings) {
    boost::json::array items;
    for (const auto& item : findings) {
        items.push_back(boost::json::object{{"severity", to_string(item.severity)},
                                            {"kind", to_string(item.kind)},
                                            {"location", item.location},
                                            {"message", item.message}});
    }
    const boost::json::object document{
        {"file", file}, {"status", status_name(status_of(findings))}, {"findings", std::move(items)}};
    return boost::json::serialize(document) + "\n";
}

} // namespace

std::vector<configuration_finding> check_texts(std::string_view proposed,
                                               const std::optional<std::string>& in_force,
                                               const routing::deployment_limits& deployment) {
    std::vector<configuration_finding> findings;
    platform::configuration_refusal refusal;
    const auto after = platform::read_configuration(proposed, refusal);
    if (!after) {
        findings.push_back(
            {finding_severity::error, finding_kind::refused, location_of(refusal),
             fmt::format("expected {}; gateways keep the configuration in force", refusal.expected)});
        return findings;
    }
    findings = routing::check_configuration(*after, deployment);
    if (!in_force) {
        return findings;
    }
    const auto before = platform::read_configuration(*in_force, refusal);
    if (!before) {
        findings.push_back({finding_severity::error, finding_kind::refused,
                            "configuration in force, " + location_of(refusal),
                            fmt::format("expected {}; nothing is compared", refusal.expected)});
        return findings;
    }
    auto differences = routing::find_differences(*before, *after);
    findings.insert(findings.end(), std::make_move_iterator(differences.begin()),
                    std::make_move_iterator(differences.end()));
    return findings;
}

check_status status_of(const std::vector<configuration_finding>& findings) {
    switch (routing::worst_severity(findings)) {
    case finding_severity::note:
        return check_status::clean;
    case finding_severity::warning:
        return check_status::warnings;
    case finding_severity::error:
        return check_status::errors;
    }
    return check_status::errors;
}

std::string format_report(const std::string& file, const std::vector<configuration_finding>& findings,
                          report_format format) {
    return format == report_format::json ? format_json(file, findings) : format_text(file, findings);
}

} // namespace carawayway::cli
