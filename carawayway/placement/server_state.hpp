// What a gateway knows of one backend server: facts, reported load, own requests and recent outcomes.
#pragma once

#include "carawayway/base/time.hpp"
#include "carawayway/fleet/registrations.hpp"
#include "carawayway/placement/load_average.hpp"
#include "carawayway/placement/moved_share.hpp"

#include <cstdint>
#include <deque>

namespace carawayway::placement {

// The load that a server reported with an answer.
struct load_report {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;

    // Requests in progress as a part of the slots; above 1 requests wait.
    double utilization() const { return slots == 0 ? 0.0 : static_cast<double>(running + waiting) / slots; }

    bool operator==(const load_report&) const = default;
};

enum class reachability : std::uint8_t {
    usable,
    suspect,   // does not answer; only health probes are sent
    displaced, // its address belongs to another server
};

// The state of one incarnation; a new incarnation starts with a new state.
struct server_state {
    fleet::server_registration registration;
    std::string region;
    std::uint64_t id_hash = 0;

    // The entry disappeared while the store was disturbed; the server is used until the store has settled.
    bool entry_missing = false;
    bool gone = false; // kept only while requests are in flight

    reachability reach = reachability::usable;
    base::time_point next_probe{};
    base::duration probe_interval{};
    bool probe_running = false;

    base::time_point cold_until{};
    std::deque<base::time_point> cold_sends; // of the last second

    std::uint32_t own_in_flight = 0;
    std::uint32_t others_reported = 0; // requests of other gateways at the last report
    base::time_point reported_at{};
    load_average load;
    moved_share moved; // of the objects for which the server is the first choice of its region

    double failure_rate = 0.0; // moving average of answers that were failures or refusals
    base::time_point last_failure{};
    double slowness = 1.0; // moving average of the time taken over the time expected
    base::time_point slowness_at{};
    base::time_point last_answer{};
    std::uint32_t silent_failures = 0; // requests in a row that ended without any answer
};

} // namespace carawayway::placement
