// The error of an operator's call and its problem document.
#pragma once

#include "carawayway/base/error_kind.hpp"
#include "carawayway/config/diagnostic.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace carawayway::operators {

// Revision, change ID and comment of a policy.
struct revision_summary {
    std::int64_t revision = 0; // 0 if there is no policy
    std::string change_id;
    std::string comment;

    bool operator==(const revision_summary&) const = default;
};

struct call_error {
    base::error_kind kind = base::error_kind::internal;
    std::string detail;
    std::vector<config::diagnostic> diagnostics; // of an invalid policy
    std::optional<revision_summary> current;     // the policy in the store, if it was read

    bool operator==(const call_error&) const = default;
};

// Formats the error as application/problem+json.
std::string problem_document(const call_error& error);

} // namespace carawayway::operators
