// The order in which other entry instances are tried for a request, and the order in which callers learn
// them.
#pragma once

#include "carawayway/base/time.hpp"
#include "carawayway/config/policy.hpp"

#include <cstdint>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace carawayway::shifting {

// What is known about another entry instance and one service.
struct entry_summary {
    std::string entry;
    std::string failure_domain;
    std::string region;
    std::uint32_t free_slots = 0;
    std::uint32_t queued = 0;    // requests that will take slots before ours
    base::duration round_trip{}; // of the peer link
    base::duration age{};        // since the summary was made
    config::administrative_state state = config::administrative_state::active;
    std::uint32_t sent_since_summary = 0; // requests that we sent there and that the summary does not show
    std::uint32_t link_in_flight = 0;     // our requests on the peer link
    std::uint32_t link_limit = 0;         // requests in flight that the link may carry

    bool operator==(const entry_summary&) const = default;
};

struct selector_limits {
    base::duration stale_after = std::chrono::seconds(2); // summaries are sent about every second
    base::duration typical_latency{};                     // of the service at the server

    bool operator==(const selector_limits&) const = default;
};

struct spill_over_request {
    std::string_view own_failure_domain; // of the entry that selects
    std::string_view own_region;
    std::string_view home_region;                 // of the caller
    std::span<const std::string> allowed_regions; // that may serve; empty: all
    base::duration remaining{};                   // until the deadline
};

// Whether serving there moves the request away from the caller's home region, so that the shift cap applies.
enum class region_crossing : std::uint8_t { serves_home_region, leaves_home_region };

struct entry_candidate {
    std::string entry;
    std::string failure_domain;
    std::string region;
    region_crossing crossing = region_crossing::serves_home_region;

    bool operator==(const entry_candidate&) const = default;
};

// Entries of the own failure domain first, then of the own region, the caller's home region and other
// regions. Equals stand in random order, in proportion to their room, so that entries with the same view do
// not all choose the same target. Left out are draining entries, entries without room or at their link limit,
// and those that cannot answer in the remaining time. Stale summaries are used only when there is no fresh
// candidate.
std::vector<entry_candidate> spill_over_order(const spill_over_request& request,
                                              std::span<const entry_summary> summaries,
                                              const selector_limits& limits, std::mt19937_64& random);

enum class entry_state : std::uint8_t { active, draining, stopping };

struct known_entry {
    std::string entry;
    std::string failure_domain;
    std::string region;
    entry_state state = entry_state::active;
    double weight = 1.0; // positive; callers are spread in proportion to it

    bool operator==(const known_entry&) const = default;
};

// Indices into `entries` of the active ones: the home region first, then other regions. Within both groups
// each client address has its own stable order (rendezvous hash), so that the callers of a lost entry spread
// over all others.
std::vector<std::size_t> lookup_order(std::string_view home_region, std::string_view client_address,
                                      std::span<const known_entry> entries);

} // namespace carawayway::shifting
