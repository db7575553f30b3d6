// Why a call was refused, and the problem document that tells it.
#pragma once

#include "carawayway/base/error_kind.hpp"
#include "carawayway/config/diagnostic.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace carawayway::operators {

// Which policy is in the store, and what its writer said about it.
struct revision_summary {
    std::int64_t revision = 0; // 0: there is no policy
    std::string change_id;
    std::string comment;

    bool operator==(const revision_summary&) const = default;
};

struct call_error {
    base::error_kind kind = base::error_kind::internal;
    std::string detail;
    std::vector<config::diagnostic> diagnostics; // of a policy that is not valid
    std::optional<revision_summary> current;     // when it was read

    bool operator==(const call_error&) const = default;
};

// As application/problem+json.
std::string problem_document(const call_error& error);

} // namespace carawayway::operators
