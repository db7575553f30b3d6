// Value types in the interface of the server pool.
#pragma once

#include "carawayway/base/time.hpp"
#include "carawayway/steering/server_lifecycle.hpp"

#include <cstdint>
#include <string>

namespace carawayway::steering {

// Configuration of one backend server of one service, from the policy.
struct server_spec {
    std::string name;
    std::uint32_t slots = 0;       // requests that may be in flight at once
    std::uint32_t connections = 0; // connections that the server accepts; 0: no limit
    base::duration warm_up{};      // time over which the usable slots rise from one to all

    bool operator==(const server_spec&) const = default;
};

// How a dispatched request ended.
enum class completion_kind : std::uint8_t {
    answered,
    failed, // 5xx answer
    shed,   // refused by the server before work began
    lost,   // the connection broke
    timed_out,
    cancelled,
    not_sent, // the connection could not be opened
};

// Identifies the server of one reservation. The generation changes when the index of a removed server is
// reused.
struct server_handle {
    std::uint32_t index = 0;
    std::uint32_t generation = 0;

    bool operator==(const server_handle&) const = default;
};

// Status of one server, for operators.
struct server_status {
    std::string name;
    server_state state = server_state::starting;
    std::uint32_t slots = 0;
    std::uint32_t usable_slots = 0;
    std::uint32_t in_flight = 0;
    base::duration latency{};   // moving average; zero without a sample
    double success_share = 1.0; // moving average of outcomes: 1 for an answer, 0 for an error

    bool operator==(const server_status&) const = default;
};

// Parameters of a server pool.
struct pool_limits {
    double shed_factor = 0.7; // of the concurrency limit, kept after a shed request
    base::duration shed_merge_interval = std::chrono::milliseconds{50}; // sheds closer than this count as one
    double shed_recovery_per_second = 1.0;                              // slots regained per second
    double success_weight = 0.25;                                       // of the newest outcome
    double latency_weight = 0.1;                                        // of the newest latency of a server
    base::duration observation_half_life = std::chrono::seconds{5};     // of observations without newer ones
    double minimum_relative_success = 0.8; // of the pool's mean; below it the limit factor drops
    base::duration longest_pause = std::chrono::seconds{1}; // between requests to a server that only fails
    // Loss score at which a server is ejected: two losses, or four timeouts in a row where timeouts are rare.
    double ejection_score = 4.0;
    base::duration shortest_ejection = std::chrono::milliseconds{500};
    base::duration longest_ejection = std::chrono::seconds{10};
    base::duration report_lifetime = std::chrono::seconds{2}; // age at which a load report has no weight left

    bool operator==(const pool_limits&) const = default;
};

} // namespace carawayway::steering
