// What the tool measures. Each scenario prints its figures on standard output.
#pragma once

#include "bench/load/deployment.hpp"
#include "bench/load/load_run.hpp"
#include "bench/load/resend_rules.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace carawayway::bench {

// How the demand for a service is spread over the regions.
enum class region_demand : std::uint8_t {
    by_slots, // in proportion to the slots in each region
    even,     // the same everywhere, so that regions with fewer slots need others
};

struct scenario_options {
    deployment_options deployed;
    double load = 0.8; // times capacity
    region_demand demand = region_demand::by_slots;
    base::duration warm_up = std::chrono::seconds(3);
    base::duration counted = std::chrono::seconds(6);
    base::duration deadline = std::chrono::seconds(2);
    double client_delay_ms = 3; // one way, from callers to their own region
    std::size_t callers = 100;  // in each region
    std::uint64_t seed = 20261203;
    std::vector<std::string> rules; // "entries" and baselines, in this order
    std::string server;             // that drains; empty: the first one of the policy
    std::string entry;              // that stops or is killed; empty: the first one
};

// Share of requests answered in time and latency, under the entry instances and under each baseline.
int run_headroom(const scenario_options& options);
// Median latency of a request through an entry instance against a request to the server.
int run_added_latency(const scenario_options& options);
// Time from the drain evidence until nothing is in flight to the server.
int run_server_drain(const scenario_options& options);
// Time from SIGTERM to an entry instance until its process has ended.
int run_entry_stop(const scenario_options& options);
// Time from SIGKILL to an entry instance until answers come at 95% of the rate before.
int run_entry_kill(const scenario_options& options);

} // namespace carawayway::bench
