// Control traffic and processor time of one entry instance against the size of the deployment, with the
// pacing of the real engine under virtual time. Entry instances differ in their number of links, so that
// several are measured.
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
constexpr auto receive_interval = std::chrono::seconds(1); // a heartbeat and a summary from each link

struct result {
    std::size_t links = 0;
    double heartbeat_bytes = 0; // per second, sent
    double summary_bytes = 0;
    double other_bytes = 0;
    double core_share = 0;
};

result measure(std::uint32_t entries_per_domain, std::uint32_t self) {
    deployment site({.domains = domains, .entries_per_domain = entries_per_domain, .self = self});
    site.settle();
    deployment::traffic sum;
    const auto started = std::chrono::steady_clock::now();
    auto next_receive = site.now() + receive_interval;
    const auto end = site.now() + std::chrono::seconds(virtual_seconds);
    while (site.now() < end) {
        site.advance(tick_interval);
        site.tick();
        const auto sent = site.take_traffic();
        sum.heartbeats += sent.heartbeats;
        sum.summaries += sent.summaries;
        sum.others += sent.others;
        if (site.now() >= next_receive) {
            next_receive = site.now() + receive_interval;
            site.receive_control_round();
        }
    }
    const double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - started).count();
    return {site.link_count(), static_cast<double>(sum.heartbeats) / virtual_seconds,
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
                   100 * item->core_share);
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
