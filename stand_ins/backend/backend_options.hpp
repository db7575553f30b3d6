// Options of the backend stand-in that apply to all of its servers.
#pragma once

#include "carawayway/base/time.hpp"
#include "stand_ins/backend/execution_log.hpp"

#include <cstdint>
#include <string>

namespace stand_ins {

enum class service_time_distribution : std::uint8_t { fixed, exponential };

struct backend_options {
    carawayway::base::duration service_time = std::chrono::milliseconds(5); // mean
    service_time_distribution distribution = service_time_distribution::fixed;
    std::uint64_t seed = 1;
    carawayway::base::duration cold_start{};    // a server is cold for this long after it starts
    double cold_factor = 1.0;                   // multiplies the service time of a cold server
    carawayway::base::duration drain_grace{};   // a draining server accepts new work for this long
    carawayway::base::duration restart_after{}; // delay before a server that went down restarts; 0: never
    std::string history;              // path of the event log, "-" for standard output, empty for none
    execution_log::listener on_event; // called for each event, on the thread of the stand-in
};

} // namespace stand_ins
