// Time types. Code that makes decisions takes the current time as a parameter instead of reading a clock, so
// that tests can run in virtual time.
#pragma once

#include <chrono>
#include <cstdint>

namespace carawayway::base {

using duration = std::chrono::nanoseconds;

// Monotonic time of one process; time points of different processes cannot be compared. Goes on while the
// machine is suspended, unlike std::chrono::steady_clock, so that a process that wakes up sees that leases
// and deadlines have passed.
struct monotonic_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<monotonic_clock, duration>;
    static constexpr bool is_steady = true;

    static time_point now();
};

using time_point = monotonic_clock::time_point;

inline time_point monotonic_now() {
    return monotonic_clock::now();
}

constexpr std::int64_t to_milliseconds(duration value) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

constexpr double to_seconds(duration value) {
    return std::chrono::duration<double>(value).count();
}

} // namespace carawayway::base
