// Drains and kills under load.
#include "bench/load/entry_callers.hpp"
#include "bench/load/load_report.hpp"
#include "bench/load/scenario_support.hpp"

#include <boost/json/value.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <thread>

namespace carawayway::bench {

namespace asio = boost::asio;

namespace {

constexpr auto watch_interval = std::chrono::milliseconds(10);
constexpr base::duration rate_window = std::chrono::seconds(1);
constexpr base::duration rate_step = std::chrono::milliseconds(50);
constexpr double recovered_share = 0.95;

std::uint64_t number(const boost::json::object& statistics, const char* name) {
    const auto* value = statistics.if_contains(name);
    return value == nullptr ? 0 : value->to_number<std::uint64_t>();
}

// What the watch of a draining server saw, in seconds since the evidence.
struct drain_watch {
    double last_start = 0;
    double idle_since = 0;
    std::uint64_t in_flight_at_start = 0;
};

drain_watch watch_drain(const deployment& deployed, const std::string& server, base::duration length) {
    drain_watch seen;
    const auto evidence = base::monotonic_now();
    deployed.announce_leaving(server);
    std::uint64_t started = 0;
    bool first = true;
    while (base::monotonic_now() - evidence < length) {
        const auto statistics = deployed.server_statistics(server);
        const double at = base::to_seconds(base::monotonic_now() - evidence);
        const auto in_flight = number(statistics, "in_flight");
        const auto now_started = number(statistics, "started");
        if (first) {
            seen.in_flight_at_start = in_flight;
            first = false;
        } else if (now_started != started) {
            seen.last_start = at;
        }
        started = now_started;
        if (in_flight > 0) {
            seen.idle_since = at;
        }
        std::this_thread::sleep_for(watch_interval);
    }
    return seen;
}

double answers_between(const load_result& result, base::time_point from, base::time_point to) {
    const auto& times = result.answers;
    const auto first = std::lower_bound(times.begin(), times.end(), from);
    const auto last = std::lower_bound(times.begin(), times.end(), to);
    return static_cast<double>(last - first) / base::to_seconds(to - from);
}

// The end of the first window after the lowest one whose rate is back, in seconds since the event; negative
// when there is none.
double recovery_time(const load_result& result, base::time_point event, double before, base::time_point end) {
    bool dipped = false;
    for (auto from = event; from + rate_window <= end; from += rate_step) {
        const double rate = answers_between(result, from, from + rate_window);
        if (rate < recovered_share * before) {
            dipped = true;
        } else if (dipped || from == event) {
            return from == event ? 0.0 : base::to_seconds(from + rate_window - event);
        }
    }
    return -1;
}

} // namespace

int run_server_drain(const scenario_options& options) {
    deployment deployed(options.deployed);
    const load_plan plan = plan_of(options, deployed.policy());
    print_conditions(options, deployed, plan);
    require_capacity(deployed);
    const std::string server =
        options.server.empty() ? deployed.policy().servers.front().name : options.server;
    asio::io_context context(1);
    entry_callers callers(context, deployed, delays_of(options), {}, "drain");
    drain_watch seen;
    const auto watched = options.counted - std::chrono::seconds(1);
    const auto result = run_load(context, callers, plan,
                                 {{options.warm_up, [&] { seen = watch_drain(deployed, server, watched); }}});
    print_header("drain of " + server);
    print_result("entries", deployed.policy(), result, capacity_of(plan, options.load), options.counted);
    fmt::print(
        "drain of {}: {} in flight at the evidence (record in the platform's instance list); last request "
        "started {:.2f} s after it, nothing in flight after {:.2f} s\n",
        server, seen.in_flight_at_start, seen.last_start, seen.idle_since);
    return 0;
}

int run_entry_stop(const scenario_options& options) {
    deployment deployed(options.deployed);
    const load_plan plan = plan_of(options, deployed.policy());
    print_conditions(options, deployed, plan);
    require_capacity(deployed);
    const std::string entry = options.entry.empty() ? deployed.entries().front().name : options.entry;
    asio::io_context context(1);
    entry_callers callers(context, deployed, delays_of(options), {}, "stop");
    double seconds = -1;
    const auto stop = [&] {
        auto& process = deployed.process(entry);
        const auto begun = base::monotonic_now();
        process.send_signal(SIGTERM);
        while (base::monotonic_now() - begun < options.counted) {
            if (process.ended()) {
                seconds = base::to_seconds(base::monotonic_now() - begun);
                return;
            }
            std::this_thread::sleep_for(watch_interval);
        }
    };
    const auto result = run_load(context, callers, plan, {{options.warm_up, stop}});
    print_header("stop of " + entry);
    print_result("entries", deployed.policy(), result, capacity_of(plan, options.load), options.counted);
    fmt::print("stop of {}: ended {:.2f} s after SIGTERM; look-up answers are valid for {} ms\n", entry,
               seconds, base::to_milliseconds(deployed.policy().lookup_lifetime));
    return 0;
}

int run_entry_kill(const scenario_options& options) {
    deployment deployed(options.deployed);
    const load_plan plan = plan_of(options, deployed.policy());
    print_conditions(options, deployed, plan);
    require_capacity(deployed);
    const std::string entry = options.entry.empty() ? deployed.entries().front().name : options.entry;
    const std::uint32_t slots = deployed.usable_slots();
    asio::io_context context(1);
    entry_callers callers(context, deployed, delays_of(options), {}, "kill");
    base::time_point killed{};
    double slots_back = -1;
    std::uint32_t fewest = slots;
    const auto kill_entry = [&] {
        killed = base::monotonic_now();
        deployed.process(entry).send_signal(SIGKILL);
        while (base::monotonic_now() - killed < options.counted - rate_window) {
            const std::uint32_t usable = deployed.usable_slots();
            fewest = std::min(fewest, usable);
            if (usable >= recovered_share * slots && fewest < slots) {
                slots_back = base::to_seconds(base::monotonic_now() - killed);
                return;
            }
            std::this_thread::sleep_for(watch_interval);
        }
    };
    constexpr auto settled = std::chrono::seconds(1);
    const auto result = run_load(context, callers, plan, {{options.warm_up, kill_entry}});
    print_header("kill -9 of " + entry);
    print_result("entries", deployed.policy(), result, capacity_of(plan, options.load), options.counted);
    const double before = answers_between(result, result.started + settled, killed);
    const auto end = result.started + options.warm_up + options.counted;
    for (auto from = killed - rate_window; from + rate_window <= end; from += rate_window / 2) {
        fmt::print("    {:>5.1f} to {:>5.1f} s: {:>5.1f}% of the rate before\n",
                   base::to_seconds(from - killed), base::to_seconds(from + rate_window - killed),
                   100.0 * answers_between(result, from, from + rate_window) / before);
    }
    fmt::print(
        "kill of {}: {:.0f} answers/s before; answers back to 95% within {:.2f} s (windows of 1 s); {} of "
        "{} slots usable at the lowest, 95% usable after {:.2f} s\n",
        entry, before, recovery_time(result, killed, before, end), fewest, slots, slots_back);
    return 0;
}

} // namespace carawayway::bench
