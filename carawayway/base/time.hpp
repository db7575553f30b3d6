// Time types. Code that makes decisions takes the current time as a parameter instead of reading a clock, so
// that tests can run in virtual time.
#pragma once

#include <chrono>
#include <cstdint>

namespace carawayway::base {

// Monotonic time of one process; time points of different processes cannot be compared.
using monotonic_clock = std::chrono::steady_clock;
using duration = std::chrono::nanoseconds;
using time_point = std::chrono::time_point<monotonic_clock, duration>;

inline time_point monotonic_now() {
    return std::chrono::time_point_cast<duration>(monotonic_clock::now());
}

constexpr std::int64_t to_milliseconds(duration value) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

constexpr double to_seconds(duration value) {
    return std::chrono::duration<double>(value).count();
}

} // namespace carawayway::base
