// Changes of the policy as pure functions: the check before a document is written, and the documents that
// drains and shift caps lead to.
#pragma once

#include "carawayway/config/policy.hpp"
#include "carawayway/operators/call_error.hpp"
#include "carawayway/operators/messages.hpp"

#include <optional>
#include <string>
#include <vector>

namespace carawayway::operators {

// A policy document as it is in the store.
struct stored_policy {
    std::int64_t revision = 0; // 0: there is none
    std::string text;

    bool operator==(const stored_policy&) const = default;
};

// Entry instances that are known to the one that checks; empty: not known, their names are not checked.
using entry_names = std::vector<std::string>;

enum class drain_target : std::uint8_t { draining, active };

revision_summary summarize(const stored_policy& policy);

// Nothing, with all diagnostics in `error`, when the document must not be written in the place of `current`.
std::optional<config::policy> check_change(const std::string& text, const stored_policy& current,
                                           const entry_names& known_entries, call_error& error);

// The document after the change, without a new change ID; equal to `document` when there is nothing to
// change. Nothing when the call names something that the policy does not have.
std::optional<std::string> drained(const std::string& document, const drain_request& request,
                                   drain_target target, const entry_names& known_entries, call_error& error);
std::optional<std::string> with_shift_cap(const std::string& document, const set_shift_cap_request& request,
                                          call_error& error);

} // namespace carawayway::operators
