// Names of severities and kinds of findings.
#include "carawayway/routing/configuration_finding.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace carawayway::routing {

std::string_view to_string(finding_severity severity) {
    switch (severity) {
    case finding_severity::note:
        return "note";
    case finding_severity::warning:
        return "warning";
    case finding_severity::error:
        return "error";
    }
    return "unknown";
}

std::string_view to_string(finding_kind kind) {
    switch (kind) {
    case finding_kind::refused:
        return "refused";
    case finding_kind::duplicate_host:
        return "duplicate-host";
    case finding_kind::duplicate_prefix:
        return "duplicate-prefix";
    case finding_kind::duplicate_service:
        return "duplicate-service";
    case finding_kind::duplicate_account:
        return "duplicate-account";
    case finding_kind::unmatchable_prefix:
        return "unmatchable-prefix";
    case finding_kind::unlisted_service:
        return "unlisted-service";
    case finding_kind::zero_weight:
        return "zero-weight";
    case finding_kind::unknown_semantics:
        return "unknown-semantics";
    case finding_kind::account_without_keys:
        return "account-without-keys";
    case finding_kind::shared_key:
        return "shared-key";
    case finding_kind::unusable_key:
        return "unusable-key";
    case finding_kind::unknown_region:
        return "unknown-region";
    case finding_kind::no_timeout:
        return "no-timeout";
    case finding_kind::target_above_timeout:
        return "target-above-timeout";
    case finding_kind::attempts_above_servers:
        return "attempts-above-servers";
    case finding_kind::zero_limit:
        return "zero-limit";
    case finding_kind::idle_below_header_timeout:
        return "idle-below-header-timeout";
    case finding_kind::body_limit_above_memory:
        return "body-limit-above-memory";
    case finding_kind::burst_below_one:
        return "burst-below-one";
    case finding_kind::burst_without_rate:
        return "burst-without-rate";
    case finding_kind::older_version:
        return "older-version";
    case finding_kind::same_version:
        return "same-version";
    case finding_kind::service_added:
        return "service-added";
    case finding_kind::service_removed:
        return "service-removed";
    case finding_kind::service_changed:
        return "service-changed";
    case finding_kind::route_added:
        return "route-added";
    case finding_kind::route_removed:
        return "route-removed";
    case finding_kind::route_changed:
        return "route-changed";
    case finding_kind::key_required:
        return "key-required";
    case finding_kind::key_not_required:
        return "key-not-required";
    case finding_kind::account_added:
        return "account-added";
    case finding_kind::account_removed:
        return "account-removed";
    case finding_kind::account_changed:
        return "account-changed";
    case finding_kind::key_added:
        return "key-added";
    case finding_kind::key_removed:
        return "key-removed";
    case finding_kind::key_moved:
        return "key-moved";
    case finding_kind::quota_changed:
        return "quota-changed";
    case finding_kind::no_common_region:
        return "no-common-region";
    case finding_kind::limits_changed:
        return "limits-changed";
    }
    return "unknown";
}

finding_severity worst_severity(const std::vector<configuration_finding>& findings) {
    finding_severity worst = finding_severity::note;
    for (const auto& finding : findings) {
        worst = std::max(worst, finding.severity);
    }
    return worst;
}

std::string quoted(std::string_view text) {
    return fmt::format("{:?}", text);
}

} // namespace carawayway::routing
