// Scenarios of the load tool. Each one prints its results on standard output.
#pragma once

#include "bench/load/deployment.hpp"
#include "bench/load/load_run.hpp"
#include "bench/load/resend_rules.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace carawayway::bench {

// How the demand for a service is distributed over the regions.
enum class region_demand : std::uint8_t {
    by_slots, // in proportion to the slots in each region
    even,     // equal in all regions, so that regions with fewer slots need slots of others
};

struct scenario_options {
    deployment_options deployed;
    double load = 0.8; // relative to capacity
    region_demand demand = region_demand::by_slots;
    base::duration warm_up = std::chrono::seconds(3);
    base::duration measurement_time = std::chrono::seconds(6);
    base::duration deadline = std::chrono::seconds(2);
    double client_delay_ms = 3; // one way, from callers to their own region
    std::size_t callers = 100;  // in each region
    std::uint64_t seed = 20261203;
    std::vector<std::string> rules; // "entries" and baselines, in this order
    std::string server;             // to drain; empty: the first one of the policy
    std::string entry;              // to stop or kill; empty: the first one
};

// Share of requests answered in time, and latency, with entry instances and with each baseline.
int run_headroom(const scenario_options& options);
// Median latency of a request through an entry instance compared with a direct request to the server.
int run_added_latency(const scenario_options& options);
// Time from marking a server as leaving until it has no requests in flight.
int run_server_drain(const scenario_options& options);
// Time from SIGTERM until the process of an entry instance has ended.
int run_entry_stop(const scenario_options& options);
// Time from SIGKILL of an entry instance until the rate of answers is back at 95%.
int run_entry_kill(const scenario_options& options);

} // namespace carawayway::bench
