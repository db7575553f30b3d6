// What servers that ask for rest may get from a gateway.
#pragma once

#include "Tests/soak/run_record.hpp"

#include <map>
#include <string>
#include <vector>

namespace carawayway::soak {

// Requests that were on their way when the server asked for rest may still arrive for this long.
constexpr std::chrono::milliseconds time_to_heed_rest{500};
// Requests that may reach the server in the remaining time.
constexpr std::size_t permitted_within_rest = 2;

// The most requests of one gateway that reached one server within a rest for which it had asked that gateway.
// `gateway_of_request` tells which gateway has sent each request ID; requests without one do not count.
std::size_t most_arrivals_within_rest(const std::vector<arrival>& arrivals,
                                      const std::map<std::string, std::size_t>& gateway_of_request);

} // namespace carawayway::soak
