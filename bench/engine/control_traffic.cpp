// Measures control traffic and CPU time of one entry instance for several deployment sizes. The real engine
// sets the send intervals, in virtual time. Several entry instances are measured, because their numbers of
// links differ.
#include "deployment.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <vector>

namespace carawayway::bench {
namespace {

constexpr std::uint32_t domains = 14;
constexpr std::uint32_t measured_entries = 5;
constexpr int virtual_seconds = 20;
constexpr auto tick_interval = std::chrono::milliseconds(5);
// Each link delivers a heartbeat and a summary in each interval.
constexpr auto receive_interval = std::chrono::seconds(1);

struct result {
    std::size_t links = 0;
    double heartbeat_bytes = 0; // sent per second
    double summary_bytes = 0;
    double other_bytes = 0;
    double cpu_share = 0;
};

result measure(std::uint32_t entries_per_domain, std::uint32_t self) {
    deployment simulation({.domains = domains, .entries_per_domain = entries_per_domain, .self = self});
    simulation.settle();
    deployment::traffic sum;
    const auto started = std::chrono::steady_clock::now();
    auto next_receive = simulation.now() + receive_interval;
    const auto end = simulation.now() + std::chrono::seconds(virtual_seconds);
    while (simulation.now() < end) {
        simulation.advance(tick_interval);
        simulation.tick();
        const auto sent = simulation.take_traffic();
        sum.heartbeats += sent.heartbeats;
        sum.summaries += sent.summaries;
        sum.others += sent.others;
        if (simulation.now() >= next_receive) {
            next_receive = simulation.now() + receive_interval;
            simulation.receive_control_round();
        }
    }
    const double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - started).count();
    return {simulation.link_count(), static_cast<double>(sum.heartbeats) / virtual_seconds,
            static_cast<double>(sum.summaries) / virtual_seconds,
            static_cast<double>(sum.others) / virtual_seconds, seconds / virtual_seconds};
}

void print_row(std::uint32_t entries_per_domain) {
    std::vector<result> results;
    for (std::uint32_t self = 0; self < std::min(measured_entries, entries_per_domain); ++self) {
        results.push_back(measure(entries_per_domain, self));
    }
    const auto by_links = [](const result& one, const result& other) { return one.links < other.links; };
    const auto [least, most] = std::minmax_element(results.begin(), results.end(), by_links);
    for (const auto* item : {&*least, &*most}) {
        fmt::print("{:>7} {:>6} {:>13.0f} {:>11.0f} {:>9.0f} {:>9.2f}\n", domains * entries_per_domain,
                   item->links, item->heartbeat_bytes, item->summary_bytes, item->other_bytes,
                   100 * item->cpu_share);
    }
}

} // namespace
} // namespace carawayway::bench

int main() {
    fmt::print("{:>7} {:>6} {:>13} {:>11} {:>9} {:>9}\n", "entries", "links", "heartbeat B/s", "summary B/s",
               "other B/s", "core %");
    for (const std::uint32_t entries_per_domain : {1U, 2U, 4U, 8U, 15U, 30U}) {
        carawayway::bench::print_row(entries_per_domain);
    }
}
