// Checks the text of a configuration as a gateway would read it, and prints the findings.
#pragma once

#include "carawayway/routing/configuration_finding.hpp"
#include "carawayway/routing/deployment_limits.hpp"

#include <cstdio>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carawayway::cli {

// Exit codes of `carawayway check-configuration`.
enum class check_status : int { clean = 0, warnings = 1, errors = 2 };

enum class report_format : std::uint8_t { text, json };

// Without `in_force`, no differences are reported. An error if gateways refuse one of the texts.
std::vector<routing::configuration_finding> check_texts(std::string_view proposed,
                                                        const std::optional<std::string>& in_force,
                                                        const routing::deployment_limits& deployment);

check_status status_of(const std::vector<routing::configuration_finding>& findings);

// One line for each finding of the file, or one JSON object.
std::string format_report(const std::string& file,
                          const std::vector<routing::configuration_finding>& findings, report_format format);

} // namespace carawayway::cli
