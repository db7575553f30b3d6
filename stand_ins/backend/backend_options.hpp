// Settings of the backend stand-in that hold for all of its servers.
#pragma once

#include "carawayway/base/time.hpp"
#include "stand_ins/backend/execution_ledger.hpp"

#include <cstdint>
#include <string>

namespace stand_ins {

enum class service_time_distribution : std::uint8_t { fixed, exponential };

struct backend_options {
    carawayway::base::duration service_time = std::chrono::milliseconds(5); // mean
    service_time_distribution distribution = service_time_distribution::fixed;
    std::uint64_t seed = 1;
    carawayway::base::duration cold_start{};    // a server is cold for this long after its start
    double cold_factor = 1.0;                   // service times are multiplied by this while cold
    carawayway::base::duration drain_grace{};   // a draining server takes new work for this long
    carawayway::base::duration restart_after{}; // a server that went down restarts after this; 0: never
    std::string history;                        // path, "-" for standard output, empty for none
    execution_ledger::listener on_event;        // called on the stand-in's thread
};

} // namespace stand_ins
