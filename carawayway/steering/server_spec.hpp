// Value types that the server pool shares with its callers.
#pragma once

#include "carawayway/base/time.hpp"
#include "carawayway/steering/server_lifecycle.hpp"

#include <cstdint>
#include <string>

namespace carawayway::steering {

// What the policy says about one backend server of one service.
struct server_spec {
    std::string name;
    std::uint32_t slots = 0;       // effective slots: requests that may be in flight at once
    std::uint32_t connections = 0; // connections the server accepts; 0 means not limited
    base::duration warm_up{};      // time over which usable slots rise from one to all

    bool operator==(const server_spec&) const = default;
};

// How a dispatched request ended.
enum class completion_kind : std::uint8_t {
    answered,
    failed, // 5xx answer
    shed,   // refused before work began
    lost,   // connection broke
    timed_out,
    cancelled,
    not_sent, // the connection could not be opened
};

// Names a server for one reservation. The generation changes when the place of a removed server is reused.
struct server_handle {
    std::uint32_t index = 0;
    std::uint32_t generation = 0;

    bool operator==(const server_handle&) const = default;
};

// One server for operators.
struct server_status {
    std::string name;
    server_state state = server_state::starting;
    std::uint32_t slots = 0;
    std::uint32_t usable_slots = 0;
    std::uint32_t in_flight = 0;
    base::duration latency{};   // moving average of answered requests; zero when none was seen
    double success_share = 1.0; // moving share of answers that were not errors

    bool operator==(const server_status&) const = default;
};

// Tuning of a server pool.
struct pool_limits {
    double shed_factor = 0.7;                                  // usable limit kept after a shed
    base::duration shed_round = std::chrono::milliseconds{50}; // sheds closer than this count as one
    double recovery_per_second = 1.0;                          // slots regained per second after a shed
    double success_weight = 0.25;                              // weight of the newest outcome
    double latency_weight = 0.1;                               // weight of the newest latency of a server
    base::duration memory = std::chrono::seconds{5};           // half-life of unrefreshed observations
    double fair_success = 0.8;                              // of the pool's mean: below it the share shrinks
    base::duration longest_pause = std::chrono::seconds{1}; // between requests to a server that only fails
    double suspect_points = 4.0; // two losses, or four timeouts in a row where timeouts are rare
    base::duration first_ejection = std::chrono::milliseconds{500};
    base::duration longest_ejection = std::chrono::seconds{10};
    base::duration report_lifetime = std::chrono::seconds{2}; // a load report counts nothing at this age

    bool operator==(const pool_limits&) const = default;
};

} // namespace carawayway::steering
