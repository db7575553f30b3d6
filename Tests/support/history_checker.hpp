// Decides whether a recorded history keeps the promises to callers and operators (docs/design.md, section 2).
#pragma once

#include "Tests/support/history.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace carawayway::test_support {

enum class history_rule : std::uint8_t {
    executed_at_most_once,     // a non-idempotent ID started more than once
    not_executed_is_true,      // an answer said "not executed" and the content started, before or after
    answer_belongs_to_request, // an "executed" answer is not the whole answer to this content
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

// What is not listed is not limited.
struct history_limits {
    std::map<std::string, std::uint32_t> server_slots;
    std::map<std::string, std::uint32_t> region_capacity; // executions at once
    std::map<std::string, config::shift_cap> shift_caps;  // by service
    // By service and home region: requests per second. Without one the arrivals of the window count.
    std::map<std::pair<std::string, std::string>, double> reference_rates;
    // Entries may each move one request where their part of the cap is below one.
    std::uint32_t receiving_entries = 1;
    base::duration drain_grace = std::chrono::seconds(3);
};

// All violations, grouped by rule. The shift cap is checked at each move: the moves in the window that ends
// there exceed those in some window of the last window before it by no more than the cap.
std::vector<violation> check(history events, const history_limits& limits);

} // namespace carawayway::test_support
