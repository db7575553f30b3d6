// Pure functions that check a policy document before it is written and that edit it for drains and shift
// caps.
#pragma once

#include "carawayway/config/policy.hpp"
#include "carawayway/operators/call_error.hpp"
#include "carawayway/operators/messages.hpp"

#include <optional>
#include <string>
#include <vector>

namespace carawayway::operators {

// A policy document with its revision in the store.
struct stored_policy {
    std::int64_t revision = 0; // 0 if there is no policy
    std::string text;

    bool operator==(const stored_policy&) const = default;
};

// Names of the entry instances known to the one that handles the call. Empty if they are not known; names are
// not checked then.
using entry_names = std::vector<std::string>;

enum class drain_state : std::uint8_t { draining, active };

revision_summary summarize(const stored_policy& policy);

// Returns the parsed policy, or nothing, with all diagnostics in `error`, if the document must not replace
// `current`.
std::optional<config::policy> check_change(const std::string& text, const stored_policy& current,
                                           const entry_names& known_entries, call_error& error);

// Each returns the document after the change, without a new change ID; it equals `document` if there is
// nothing to change. Returns nothing, with the reason in `error`, if the request is invalid or names an
// unknown item.
std::optional<std::string> with_drain_state(const std::string& document, const drain_request& request,
                                            drain_state target, const entry_names& known_entries,
                                            call_error& error);
std::optional<std::string> with_shift_cap(const std::string& document, const set_shift_cap_request& request,
                                          call_error& error);

} // namespace carawayway::operators
