// Runs an open-loop load against a request sender.
#pragma once

#include "bench/load/request_sender.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <vector>

namespace carawayway::bench {

struct load_plan {
    std::vector<std::vector<double>> rates; // requests per second of each service from each region
    std::size_t callers = 1;                // in each region
    std::uint64_t seed = 1;
    base::duration warm_up{};          // load at the start that is not measured
    base::duration measurement_time{}; // measured load after the warm-up
    base::duration deadline{};         // of each request
};

// An action at a given time of the run. It runs on a separate thread, so that it may block.
struct timed_action {
    base::duration at{}; // since the start of the run
    std::function<void()> run;
};

struct load_result {
    std::vector<outcome_summary> by_arrival; // for each service, requests that arrived during the measurement
    std::vector<std::uint64_t> completed;    // for each service, answers in time received while measuring
    std::vector<base::time_point> answers;   // times of all answers within the deadline, ascending
    base::time_point started{};
};

// Returns when every request has ended.
load_result run_load(boost::asio::io_context& context, request_sender& sender, const load_plan& plan,
                     std::vector<timed_action> actions = {});

} // namespace carawayway::bench
