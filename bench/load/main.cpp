// Parses the flags of load_tool and runs the selected scenario.
#include "bench/load/scenarios.hpp"

#include <gflags/gflags.h>

#include <cstdio>
#include <exception>
#include <filesystem>
#include <sstream>
#include <sys/resource.h>
#include <unistd.h>

DEFINE_string(policy, "examples/association/policy.ini",
              "policy file; the settings entry-*.ini are read from its folder");
DEFINE_string(scenario, "headroom",
              "scenario to run: headroom, added_latency, server_drain, entry_stop or entry_kill");
DEFINE_string(program_folder, "build", "build folder with the programs to start");
DEFINE_uint32(first_port, 31000, "first of 1000 ports that the processes use");
DEFINE_double(load, 0.8, "offered load relative to capacity (slots / mean service time)");
DEFINE_string(region_demand, "slots", "demand of the regions: slots (in proportion to their slots) or even");
DEFINE_string(rules, "random,round_robin,least_in_flight,entries", "rules to measure, in this order");
DEFINE_double(warm_up, 3, "seconds of load before the measurement");
DEFINE_double(seconds, 6, "seconds of load that are measured");
DEFINE_double(service_time_ms, 200, "mean service time in milliseconds");
DEFINE_string(distribution, "exponential", "service times: fixed or exponential");
DEFINE_int32(deadline_ms, 2000, "deadline of each request in milliseconds");
DEFINE_double(client_delay_ms, 3, "one-way delay between callers and their region in milliseconds");
DEFINE_double(domain_delay_ms, 1, "one-way delay between failure domains in milliseconds");
DEFINE_double(region_delay_ms, 20, "one-way delay between regions in milliseconds");
DEFINE_bool(link_delays, true, "connect the entry instances through the link stand-in");
DEFINE_uint32(callers, 100, "callers in each region, each with its own source address");
DEFINE_uint64(seed, 20261203, "random seed of the arrivals and of the baselines");
DEFINE_int32(lookup_lifetime_ms, 0, "lifetime of look-up answers in milliseconds; 0: as in the policy");
DEFINE_string(server, "", "server to drain; empty: the first one of the policy");
DEFINE_string(entry, "", "entry instance to stop or kill; empty: the first one");

namespace {

using namespace carawayway;

// SIGALRM ends the tool after this time; the kernel then ends its child processes.
constexpr unsigned run_time_limit_s = 60;

base::duration seconds(double value) {
    return std::chrono::duration_cast<base::duration>(std::chrono::duration<double>(value));
}

bench::scenario_options read_options() {
    bench::scenario_options options;
    options.deployed.policy_file = FLAGS_policy;
    options.deployed.program_folder = std::filesystem::absolute(FLAGS_program_folder).string();
    options.deployed.first_port = static_cast<std::uint16_t>(FLAGS_first_port);
    options.deployed.service_time_ms = FLAGS_service_time_ms;
    options.deployed.service_time_distribution = FLAGS_distribution;
    options.deployed.domain_delay_ms = FLAGS_domain_delay_ms;
    options.deployed.region_delay_ms = FLAGS_region_delay_ms;
    options.deployed.delay_entry_links = FLAGS_link_delays;
    options.deployed.lookup_lifetime_ms = FLAGS_lookup_lifetime_ms;
    options.load = FLAGS_load;
    options.demand =
        FLAGS_region_demand == "even" ? bench::region_demand::even : bench::region_demand::by_slots;
    options.warm_up = seconds(FLAGS_warm_up);
    options.measurement_time = seconds(FLAGS_seconds);
    options.deadline = std::chrono::milliseconds(FLAGS_deadline_ms);
    options.client_delay_ms = FLAGS_client_delay_ms;
    options.callers = FLAGS_callers;
    options.seed = FLAGS_seed;
    options.server = FLAGS_server;
    options.entry = FLAGS_entry;
    std::istringstream rules(FLAGS_rules);
    for (std::string rule; std::getline(rules, rule, ',');) {
        options.rules.push_back(rule);
    }
    return options;
}

int run(const bench::scenario_options& options) {
    if (FLAGS_scenario == "headroom") {
        return bench::run_headroom(options);
    }
    if (FLAGS_scenario == "added_latency") {
        return bench::run_added_latency(options);
    }
    if (FLAGS_scenario == "server_drain") {
        return bench::run_server_drain(options);
    }
    if (FLAGS_scenario == "entry_stop") {
        return bench::run_entry_stop(options);
    }
    if (FLAGS_scenario == "entry_kill") {
        return bench::run_entry_kill(options);
    }
    std::fprintf(stderr, "load_tool: unknown scenario %s\n", FLAGS_scenario.c_str());
    return 2;
}

} // namespace

int main(int argc, char** argv) {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    alarm(run_time_limit_s);
    rlimit files{};
    if (getrlimit(RLIMIT_NOFILE, &files) == 0) {
        files.rlim_cur = files.rlim_max;
        setrlimit(RLIMIT_NOFILE, &files);
    }
    try {
        return run(read_options());
    } catch (const std::exception& error) {
        std::fprintf(stderr, "load_tool: %s\n", error.what());
        return 1;
    }
}
