// Limits the retries of one process so that the sum over any number of processes stays within a limit that
// they share, without messages between them.
#pragma once

#include "carawayway/base/time.hpp"
#include "carawayway/shifting/sliding_count.hpp"

namespace carawayway::steering {

// Over any window, all processes together may send `share` retries for each first attempt of this window or
// of the one before it, and some more.
struct shared_retry_limits {
    double share = 0.1;
    base::duration window = std::chrono::seconds{10};
    double minimum_burst = 1.0; // retries that a process with little traffic can save

    bool operator==(const shared_retry_limits&) const = default;
};

// A token bucket. Each first attempt earns a part of `share`, and no more can be saved than the rest of
// `share` for the first attempts of the last window. So within a window a process sends at most share *
// (earned_part * first attempts + saved_part * first attempts of the window before it) + minimum_burst
// retries. Each process has its own first attempts, so that the sum does not depend on how many processes
// there are, how many of them a process knows, or how often they are restarted.
class proportional_retry_budget {
public:
    // Their sum is 1 at most.
    static constexpr double earned_part = 0.75;
    static constexpr double saved_part = 0.25;

    proportional_retry_budget(shared_retry_limits limits, base::time_point now);

    void record_first_attempt(base::time_point now);
    // Takes one retry from the budget; false when none is available.
    bool try_spend(base::time_point now);
    double available(base::time_point now) const;

private:
    // The most retries that may be saved now.
    double capacity(base::time_point now) const;

    shared_retry_limits m_limits;
    shifting::sliding_count m_first_attempts;
    double m_tokens = 0.0; // at least 0; what exceeds capacity() is not available
};

} // namespace carawayway::steering
