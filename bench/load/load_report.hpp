// Prints the result tables of the load tool.
#pragma once

#include "bench/load/load_run.hpp"
#include "carawayway/config/policy.hpp"

#include <string>
#include <vector>

namespace carawayway::bench {

// Slots of each service in each region, in the order of the policy.
std::vector<std::vector<double>> slots_by_service(const config::policy& policy);
// One-minute load average of the machine, printed beside the measurements.
double load_average();

void print_header(const std::string& title);
// Prints one line for each service and one for all services. `capacity` is in requests per second.
void print_result(const std::string& rule, const config::policy& policy, const load_result& result,
                  const std::vector<double>& capacity, base::duration measurement_time);

} // namespace carawayway::bench
