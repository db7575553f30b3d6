// Slides the window over the repeated arrivals.
#include "Tests/soak/retry_limit.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <set>

namespace carawayway::soak {

namespace {

using time_points = std::vector<clock::time_point>;

// Arrivals beyond the first of each request, in order.
time_points repeats_in(std::vector<arrival> arrivals) {
    std::sort(arrivals.begin(), arrivals.end(),
              [](const arrival& left, const arrival& right) { return left.at < right.at; });
    std::set<std::string> arrived;
    time_points repeats;
    for (const auto& item : arrivals) {
        if (!arrived.insert(item.request_id).second) {
            repeats.push_back(item.at);
        }
    }
    return repeats;
}

// Number of sorted times in [from, to).
std::size_t count_between(const time_points& times, clock::time_point from, clock::time_point to) {
    return static_cast<std::size_t>(std::lower_bound(times.begin(), times.end(), to) -
                                    std::lower_bound(times.begin(), times.end(), from));
}

} // namespace

std::optional<std::string> find_retry_excess(const retry_limit& limit, const retry_limit_input& input) {
    const auto repeats = repeats_in(input.arrivals);
    auto sent = input.sent;
    std::sort(sent.begin(), sent.end());
    double largest_excess = 0.0;
    std::optional<std::string> description;
    const auto check_window = [&](clock::time_point from) {
        std::size_t requests = 0;
        for (const auto earlier : {limit.window * 0, limit.window / 2, limit.window}) {
            requests = std::max(requests, count_between(sent, from - earlier, from - earlier + limit.window));
        }
        const auto repeated = count_between(repeats, from, from + limit.window);
        const double allowed = limit.share * static_cast<double>(requests) + limit.slack;
        const double excess = static_cast<double>(repeated) - allowed;
        if (excess > largest_excess) {
            largest_excess = excess;
            description = fmt::format("{} repeats within {} ms for {} requests, allowed {:.1f}", repeated,
                                      limit.window.count(), requests, allowed);
        }
    };
    for (const auto repeat : repeats) {
        check_window(repeat);
        check_window(repeat - limit.window + std::chrono::milliseconds{1});
    }
    return description;
}

} // namespace carawayway::soak
