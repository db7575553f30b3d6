// Chooses the order in which a request is offered to other entry instances, and the order of entry instances
// in lookup answers.
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

// What this entry instance knows about the load of another one for one service.
struct entry_summary {
    std::string entry;
    std::string failure_domain;
    std::string region;
    std::uint32_t free_slots = 0;
    std::uint32_t queued = 0;    // requests that get slots before a new one
    base::duration round_trip{}; // of the peer link
    base::duration age{};        // since the summary was made
    config::administrative_state state = config::administrative_state::active;
    std::uint32_t sent_since_summary = 0; // requests sent there that are not in the summary yet
    std::uint32_t link_in_flight = 0;     // requests of this entry in flight on the peer link
    std::uint32_t link_limit = 0;         // most requests in flight on the peer link

    bool operator==(const entry_summary&) const = default;
};

struct selector_limits {
    base::duration stale_after = std::chrono::seconds(2); // summaries are sent about every second
    base::duration typical_latency{};                     // of the service, at the server

    bool operator==(const selector_limits&) const = default;
};

struct spill_over_request {
    std::string_view own_failure_domain; // of the entry that sends the request
    std::string_view own_region;
    std::string_view home_region;                 // of the caller
    std::span<const std::string> allowed_regions; // that may serve the request; empty: all
    base::duration remaining{};                   // until the deadline
};

// Whether the candidate is outside the caller's home region, so that the shift cap applies.
enum class region_crossing : std::uint8_t { serves_home_region, leaves_home_region };

struct entry_candidate {
    std::string entry;
    std::string failure_domain;
    std::string region;
    region_crossing crossing = region_crossing::serves_home_region;

    bool operator==(const entry_candidate&) const = default;
};

// Returns the entry instances that can take the request, in the order in which to try them: those in the own
// failure domain first, then in the own region, the caller's home region and other regions. Those at the same
// distance are in random order, weighted by available slots, so that senders with the same summaries do not
// all choose the same target. Draining entry instances are left out, as are those without available slots, at
// their link limit, or too far away to answer in the remaining time. Stale summaries are used only when no
// fresh one gives a candidate.
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

// Returns the indices of the active `entries`: those in the home region first, then the others. Within both
// groups each client address has its own stable order (rendezvous hashing), so that the callers of a lost
// entry instance spread over all others.
std::vector<std::size_t> lookup_order(std::string_view home_region, std::string_view client_address,
                                      std::span<const known_entry> entries);

} // namespace carawayway::shifting
