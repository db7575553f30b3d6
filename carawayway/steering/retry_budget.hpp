// Limits retries to a share of the first attempts, so that retries do not amplify an overload.
#pragma once

#include "carawayway/base/time.hpp"

#include <algorithm>
#include <cstdint>

namespace carawayway::steering {

struct retry_limits {
    double share = 0.1;            // retries earned by each first attempt
    double floor_per_second = 1.0; // earned without traffic, so that low traffic can retry
    double burst = 10.0;           // most retries that can accumulate

    bool operator==(const retry_limits&) const = default;
};

// Over any period, at most share * first attempts + floor_per_second * seconds + burst retries are granted.
class retry_budget {
public:
    retry_budget(retry_limits limits, base::time_point now);

    void record_first_attempt(base::time_point now);
    // Takes one retry from the budget; false when none is available.
    bool try_spend(base::time_point now);
    double available(base::time_point now) const;

private:
    void accrue(base::time_point now);

    retry_limits m_limits;
    double m_tokens; // 0 <= m_tokens <= burst
    base::time_point m_accrued_at;
};

// Exponential backoff with full jitter: uniform between zero and min(longest, first * 2^attempt). `attempt`
// counts from zero.
template <class Random>
base::duration jittered_backoff(std::uint32_t attempt, base::duration first, base::duration longest,
                                Random& random) {
    constexpr std::uint32_t maximum_shift = 20;
    const auto factor = std::int64_t{1} << std::min(attempt, maximum_shift);
    const base::duration ceiling = first > longest / factor ? longest : first * factor;
    if (ceiling <= base::duration::zero()) {
        return base::duration::zero();
    }
    const auto span = static_cast<std::uint64_t>(ceiling.count());
    return base::duration{static_cast<base::duration::rep>(random() % (span + 1))};
}

} // namespace carawayway::steering
