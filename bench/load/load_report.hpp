// The tables that the tool prints.
#pragma once

#include "bench/load/load_run.hpp"
#include "carawayway/config/policy.hpp"

#include <string>
#include <vector>

namespace carawayway::bench {

// Slots of each service in each region, in the order of the policy.
std::vector<std::vector<double>> slots_by_service(const config::policy& policy);
// One-minute load average of the machine, for the record beside timings.
double load_average();

void print_header(const std::string& title);
// One line for each service and one for all; `capacity` holds requests per second.
void print_result(const std::string& rule, const config::policy& policy, const load_result& result,
                  const std::vector<double>& capacity, base::duration counted);

} // namespace carawayway::bench
