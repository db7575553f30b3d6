// Prints fixed-width tables with one line for each rule and service.
#include "bench/load/load_report.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <numeric>

namespace carawayway::bench {

namespace {

void print_line(const std::string& rule, const std::string& service, const outcome_summary& summary,
                double completed, double capacity) {
    using enum request_end;
    fmt::print("{:<16} {:<12} {:>7} {:>8.2f} {:>8.2f} {:>8.2f} {:>6.2f} {:>8.2f} {:>6.2f} {:>8.1f} {:>8.1f} "
               "{:>8.1f}\n",
               rule, service, summary.total(), 100.0 * summary.share(in_time), 100.0 * summary.share(refused),
               100.0 * summary.share(unknown), 100.0 * summary.share(late),
               100.0 * completed / std::max(capacity, 1.0), summary.sends_per_request(),
               summary.percentile(0.5), summary.percentile(0.99), summary.percentile(0.999));
}

} // namespace

std::vector<std::vector<double>> slots_by_service(const config::policy& policy) {
    std::vector<std::vector<double>> slots;
    for (const auto& service : policy.services) {
        auto& by_region = slots.emplace_back();
        for (const auto& region : policy.regions) {
            double sum = 0;
            for (const auto& server : policy.servers) {
                const bool counts =
                    server.service == service.name && policy.region_of(server.failure_domain) == region.name;
                sum += counts ? server.slots : 0;
            }
            by_region.push_back(sum);
        }
    }
    return slots;
}

double load_average() {
    std::array<double, 1> value{};
    return getloadavg(value.data(), 1) == 1 ? value.front() : 0.0;
}

void print_header(const std::string& title) {
    fmt::print("\n{}; load average {:.1f}\n", title, load_average());
    fmt::print("{:<16} {:<12} {:>7} {:>8} {:>8} {:>8} {:>6} {:>8} {:>6} {:>8} {:>8} {:>8}\n", "rule",
               "service", "counted", "in time%", "refused%", "unknown%", "late%", "of cap.%", "sends",
               "p50 ms", "p99 ms", "p99.9 ms");
}

void print_result(const std::string& rule, const config::policy& policy, const load_result& result,
                  const std::vector<double>& capacity, base::duration measurement_time) {
    const double seconds = base::to_seconds(measurement_time);
    outcome_summary all;
    for (std::size_t index = 0; index < policy.services.size(); ++index) {
        all.merge(result.by_arrival[index]);
        print_line(rule, policy.services[index].name, result.by_arrival[index],
                   static_cast<double>(result.completed[index]), capacity[index] * seconds);
    }
    const auto completed =
        std::accumulate(result.completed.begin(), result.completed.end(), std::uint64_t{0});
    const double whole = std::accumulate(capacity.begin(), capacity.end(), 0.0);
    print_line(rule, "all", all, static_cast<double>(completed), whole * seconds);
    for (std::size_t index = 0; index < policy.services.size(); ++index) {
        for (const auto& [reason, count] : result.by_arrival[index].reasons()) {
            fmt::print("    {:<12} {:>6}  {}\n", policy.services[index].name, count, reason);
        }
    }
    std::fflush(stdout);
}

} // namespace carawayway::bench
