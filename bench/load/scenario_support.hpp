// Shared by the scenarios; private to this folder.
#pragma once

#include "bench/load/scenarios.hpp"

namespace carawayway::bench {

std::vector<double> rates_by_service(const load_plan& plan);
// Requests per second that the servers of each service can answer.
std::vector<double> capacity_of(const load_plan& plan, double load);
load_plan plan_of(const scenario_options& options, const config::policy& policy);
caller_delays delays_of(const scenario_options& options);
void print_conditions(const scenario_options& options, const deployment& deployed, const load_plan& plan);
// Waits until all slots are usable; prints a warning when they are not.
void require_capacity(const deployment& deployed);

} // namespace carawayway::bench
