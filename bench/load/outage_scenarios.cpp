// Scenarios that drain a server or stop or kill an entry instance under load.
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

constexpr auto poll_interval = std::chrono::milliseconds(10);
constexpr base::duration rate_window = std::chrono::seconds(1);
constexpr base::duration rate_step = std::chrono::milliseconds(50);
constexpr double recovered_rate_share = 0.95;

std::uint64_t number(const boost::json::object& statistics, const char* name) {
    const auto* value = statistics.if_contains(name);
    return value == nullptr ? 0 : value->to_number<std::uint64_t>();
}

// Observations of a draining server; times are in seconds since the server was marked as leaving.
struct drain_observation {
    double last_start = 0;
    double last_in_flight = 0;
    std::uint64_t in_flight_at_start = 0;
};

drain_observation observe_drain(const deployment& deployed, const std::string& server,
                                base::duration length) {
    drain_observation observed;
    const auto marked_at = base::monotonic_now();
    deployed.announce_leaving(server);
    std::uint64_t started = 0;
    bool first = true;
    while (base::monotonic_now() - marked_at < length) {
        const auto statistics = deployed.server_statistics(server);
        const double at = base::to_seconds(base::monotonic_now() - marked_at);
        const auto in_flight = number(statistics, "in_flight");
        const auto total_started = number(statistics, "started");
        if (first) {
            observed.in_flight_at_start = in_flight;
            first = false;
        } else if (total_started != started) {
            observed.last_start = at;
        }
        started = total_started;
        if (in_flight > 0) {
            observed.last_in_flight = at;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return observed;
}

double answers_between(const load_result& result, base::time_point from, base::time_point to) {
    const auto& times = result.answers;
    const auto first = std::lower_bound(times.begin(), times.end(), from);
    const auto last = std::lower_bound(times.begin(), times.end(), to);
    return static_cast<double>(last - first) / base::to_seconds(to - from);
}

// Returns the end of the first window in which the rate has recovered after a drop, in seconds since the
// event; 0 without a drop in the first window, negative if the rate does not recover.
double recovery_time(const load_result& result, base::time_point event, double before, base::time_point end) {
    bool has_dropped = false;
    for (auto from = event; from + rate_window <= end; from += rate_step) {
        const double rate = answers_between(result, from, from + rate_window);
        if (rate < recovered_rate_share * before) {
            has_dropped = true;
        } else if (has_dropped || from == event) {
            return from == event ? 0.0 : base::to_seconds(from + rate_window - event);
        }
    }
    return -1;
}

} // namespace

int run_server_drain(const scenario_options& options) {
    deployment deployed(options.deployed);
    const load_plan plan = make_load_plan(options, deployed.policy());
    print_conditions(options, deployed, plan);
    wait_for_usable_slots(deployed);
    const std::string server =
        options.server.empty() ? deployed.policy().servers.front().name : options.server;
    asio::io_context context(1);
    entry_callers callers(context, deployed, make_caller_delays(options), {}, "drain");
    drain_observation observed;
    const auto watched = options.measurement_time - std::chrono::seconds(1);
    const auto result =
        run_load(context, callers, plan,
                 {{options.warm_up, [&] { observed = observe_drain(deployed, server, watched); }}});
    print_header("drain of " + server);
    print_result("entries", deployed.policy(), result, capacity_by_service(plan, options.load),
                 options.measurement_time);
    fmt::print("drain of {}: {} requests in flight when it was marked as leaving in the platform's instance "
               "list; last request started {:.2f} s later, nothing in flight after {:.2f} s\n",
               server, observed.in_flight_at_start, observed.last_start, observed.last_in_flight);
    return 0;
}

int run_entry_stop(const scenario_options& options) {
    deployment deployed(options.deployed);
    const load_plan plan = make_load_plan(options, deployed.policy());
    print_conditions(options, deployed, plan);
    wait_for_usable_slots(deployed);
    const std::string entry = options.entry.empty() ? deployed.entries().front().name : options.entry;
    asio::io_context context(1);
    entry_callers callers(context, deployed, make_caller_delays(options), {}, "stop");
    double seconds = -1;
    const auto stop = [&] {
        auto& process = deployed.process(entry);
        const auto begun = base::monotonic_now();
        process.send_signal(SIGTERM);
        while (base::monotonic_now() - begun < options.measurement_time) {
            if (process.ended()) {
                seconds = base::to_seconds(base::monotonic_now() - begun);
                return;
            }
            std::this_thread::sleep_for(poll_interval);
        }
    };
    const auto result = run_load(context, callers, plan, {{options.warm_up, stop}});
    print_header("stop of " + entry);
    print_result("entries", deployed.policy(), result, capacity_by_service(plan, options.load),
                 options.measurement_time);
    fmt::print("stop of {}: exited {:.2f} s after SIGTERM; look-up answers are valid for {} ms\n", entry,
               seconds, base::to_milliseconds(deployed.policy().lookup_lifetime));
    return 0;
}

int run_entry_kill(const scenario_options& options) {
    deployment deployed(options.deployed);
    const load_plan plan = make_load_plan(options, deployed.policy());
    print_conditions(options, deployed, plan);
    wait_for_usable_slots(deployed);
    const std::string entry = options.entry.empty() ? deployed.entries().front().name : options.entry;
    const std::uint32_t slots = deployed.usable_slots();
    asio::io_context context(1);
    entry_callers callers(context, deployed, make_caller_delays(options), {}, "kill");
    base::time_point killed{};
    double slots_recovered = -1;
    std::uint32_t fewest = slots;
    const auto kill_entry = [&] {
        killed = base::monotonic_now();
        deployed.process(entry).send_signal(SIGKILL);
        while (base::monotonic_now() - killed < options.measurement_time - rate_window) {
            const std::uint32_t usable = deployed.usable_slots();
            fewest = std::min(fewest, usable);
            if (usable >= recovered_rate_share * slots && fewest < slots) {
                slots_recovered = base::to_seconds(base::monotonic_now() - killed);
                return;
            }
            std::this_thread::sleep_for(poll_interval);
        }
    };
    constexpr auto settled = std::chrono::seconds(1);
    const auto result = run_load(context, callers, plan, {{options.warm_up, kill_entry}});
    print_header("kill -9 of " + entry);
    print_result("entries", deployed.policy(), result, capacity_by_service(plan, options.load),
                 options.measurement_time);
    const double before = answers_between(result, result.started + settled, killed);
    const auto end = result.started + options.warm_up + options.measurement_time;
    for (auto from = killed - rate_window; from + rate_window <= end; from += rate_window / 2) {
        fmt::print("    {:>5.1f} to {:>5.1f} s: {:>5.1f}% of the rate before the kill\n",
                   base::to_seconds(from - killed), base::to_seconds(from + rate_window - killed),
                   100.0 * answers_between(result, from, from + rate_window) / before);
    }
    fmt::print("kill of {}: {:.0f} answers/s before; rate back at 95% after {:.2f} s (windows of 1 s); {} of "
               "{} slots usable at the lowest, 95% usable after {:.2f} s\n",
               entry, before, recovery_time(result, killed, before, end), fewest, slots, slots_recovered);
    return 0;
}

} // namespace carawayway::bench
