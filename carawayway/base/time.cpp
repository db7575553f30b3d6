// Reads the system's boot-time clock.
#include "carawayway/base/time.hpp"

#include <ctime>

namespace carawayway::base {

monotonic_clock::time_point monotonic_clock::now() {
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return time_point{std::chrono::seconds{now.tv_sec} + std::chrono::nanoseconds{now.tv_nsec}};
}

} // namespace carawayway::base
