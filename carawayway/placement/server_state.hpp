// What a gateway knows about one backend server: its registration, reported load, own requests in flight and
// recent outcomes.
#pragma once

#include "carawayway/base/time.hpp"
#include "carawayway/fleet/registrations.hpp"
#include "carawayway/placement/diverted_share.hpp"
#include "carawayway/placement/load_average.hpp"

#include <cstdint>
#include <deque>
#include <optional>

namespace carawayway::placement {

// Load that a server reports with an answer.
struct load_report {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    // Time that work takes on the server's machine now, relative to the usual time. Nothing from servers that
    // do not tell.
    std::optional<double> work_time_factor{};

    // Requests in progress divided by slots; above 1, requests are queued.
    double utilization() const { return slots == 0 ? 0.0 : static_cast<double>(running + waiting) / slots; }

    bool operator==(const load_report&) const = default;
};

enum class server_reachability : std::uint8_t {
    usable,
    suspect,            // does not answer; receives only health probes
    address_reassigned, // its address now belongs to another server
};

// The state of one incarnation of a server; a new incarnation starts with a new state.
struct server_state {
    fleet::server_registration registration;
    std::string region;
    std::uint64_t id_hash = 0;

    // The registration disappeared while the store was unstable; the server stays in use until the store has
    // settled.
    bool missing_from_store = false;
    bool removed = false; // no longer in the table; the state lives on while requests are in flight

    server_reachability reachability = server_reachability::usable;
    base::time_point suspect_since{}; // meaningful while the server is suspect
    base::time_point next_probe_at{};
    base::duration probe_interval{};
    bool probe_in_progress = false;

    base::time_point rests_until{}; // the server has asked this gateway to send nothing until then
    bool has_rested = false;        // it has not answered well since it asked
    base::time_point cold_until{};
    std::deque<base::time_point> recent_cold_sends; // within the last second

    std::uint32_t own_in_flight = 0;
    std::uint32_t others_in_flight = 0; // requests of other gateways, as of the last load report
    base::time_point reported_at{};
    load_average load;
    // As of the last load report; nothing if the server does not tell.
    std::optional<double> work_time_factor;
    diverted_share diverted; // of objects whose first choice is this server, to their second choice

    double failure_rate = 0.0; // moving average over requests: 1 for a failure or refusal, 0 for a success
    base::time_point last_failure_at{};
    double slowdown = 1.0; // moving average of observed divided by expected run time
    base::time_point slowdown_updated_at{};
    base::time_point last_answer_at{};
    std::uint32_t consecutive_unanswered = 0; // requests in a row without any answer
};

} // namespace carawayway::placement
