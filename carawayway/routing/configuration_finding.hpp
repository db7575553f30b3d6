// Something that operators should know before they put a configuration in force.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace carawayway::routing {

enum class finding_severity : std::uint8_t {
    note,    // an intended effect of a change
    warning, // gateways take the configuration, but a part of it has no effect or rejects callers
    error,   // gateways keep the configuration in force instead
};

enum class finding_kind : std::uint8_t {
    // of one configuration
    refused,
    duplicate_host,
    duplicate_prefix,
    duplicate_service,
    duplicate_account,
    unmatchable_prefix,
    unlisted_service,
    zero_weight,
    unknown_semantics,
    account_without_keys,
    shared_key,
    unusable_key,
    unknown_region,
    no_timeout,
    target_above_timeout,
    attempts_above_servers,
    zero_limit,
    idle_below_header_timeout,
    body_limit_above_memory,
    burst_below_one,
    burst_without_rate,
    // of a change from one configuration to another
    older_version,
    same_version,
    service_added,
    service_removed,
    service_changed,
    route_added,
    route_removed,
    route_changed,
    key_required,
    key_not_required,
    account_added,
    account_removed,
    account_changed,
    key_added,
    key_removed,
    key_moved,
    quota_changed,
    no_common_region,
    limits_changed,
};

struct configuration_finding {
    finding_severity severity = finding_severity::note;
    finding_kind kind = finding_kind::refused;
    std::string location; // the part of the configuration; names in it are quoted and escaped
    std::string message;  // never contains an API key

    bool operator==(const configuration_finding&) const = default;
};

std::string_view to_string(finding_severity severity);
std::string_view to_string(finding_kind kind);

// `note` if there are no findings.
finding_severity worst_severity(const std::vector<configuration_finding>& findings);

// Returns the text in quotes, with control characters escaped, so that it stays on one line.
std::string quoted(std::string_view text);

} // namespace carawayway::routing
