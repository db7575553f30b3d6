// Helpers shared by the scenarios; private to this folder.
#pragma once

#include "bench/load/scenarios.hpp"

namespace carawayway::bench {

std::vector<double> rates_by_service(const load_plan& plan);
// Requests per second that the servers of each service can execute.
std::vector<double> capacity_by_service(const load_plan& plan, double load);
load_plan make_load_plan(const scenario_options& options, const config::policy& policy);
caller_delays make_caller_delays(const scenario_options& options);
void print_conditions(const scenario_options& options, const deployment& deployed, const load_plan& plan);
// Waits until all slots are usable. Prints a warning if that takes too long.
void wait_for_usable_slots(const deployment& deployed);

} // namespace carawayway::bench
