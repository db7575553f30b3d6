// Open-loop arrivals: a Poisson process for each service and region, distributed evenly over the callers of
// the region.
#pragma once

#include "carawayway/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

namespace carawayway::bench {

struct arrival {
    base::duration at{}; // since the start of the run
    std::size_t service = 0;
    std::size_t region = 0;
    std::size_t caller = 0; // within the region

    bool operator==(const arrival&) const = default;
};

class arrival_schedule {
public:
    // `rates` holds the requests per second of each service from each region; their sum and `callers` are
    // positive.
    arrival_schedule(const std::vector<std::vector<double>>& rates, std::size_t callers, std::uint64_t seed);

    // Times never decrease. The schedule has no end.
    arrival next();

private:
    struct stream {
        std::size_t service = 0;
        std::size_t region = 0;
    };

    std::vector<stream> m_streams;
    std::size_t m_callers;
    std::mt19937_64 m_random;
    std::exponential_distribution<double> m_gap;
    std::discrete_distribution<std::size_t> m_next_stream;
    base::duration m_last{};
};

} // namespace carawayway::bench
