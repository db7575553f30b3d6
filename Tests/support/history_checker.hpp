// Checks a recorded history against the guarantees to callers and operators (docs/design.md, section 2).
#pragma once

#include "Tests/support/history.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace carawayway::test_support {

enum class history_rule : std::uint8_t {
    executed_at_most_once,     // a non-idempotent request ID was executed more than once
    not_executed_is_true,      // answered "not executed", but executed before or after the answer
    answer_belongs_to_request, // an "executed" answer is truncated or answers another request
    server_capacity,
    region_capacity,
    shift_cap,
    no_work_after_drain,
    revision_never_reverts,
};

struct violation {
    history_rule rule;
    base::time_point time;
    std::string detail;
};

// Limits to check. Servers, regions and services without an entry are not limited.
struct history_limits {
    std::map<std::string, std::uint32_t> server_slots;
    std::map<std::string, std::uint32_t> region_capacity; // concurrent executions
    std::map<std::string, config::shift_cap> shift_caps;  // by service
    // Requests per second by service and home region. Without a rate, the share cap applies to the requests
    // that arrived in the window.
    std::map<std::pair<std::string, std::string>, double> reference_rates;
    // Number of entries that receive requests from callers. Each may move one request even if its part of the
    // cap is less than one.
    std::uint32_t receiving_entries = 1;
    base::duration drain_grace = std::chrono::seconds(3);
};

// Returns all violations, grouped by rule. The shift cap is checked at each move, for the window that ends
// with the move: it may contain at most the cap more moves than the busiest window that ended at most one
// window length before it began.
std::vector<violation> check(history events, const history_limits& limits);

} // namespace carawayway::test_support
