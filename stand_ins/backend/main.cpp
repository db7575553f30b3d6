// Entry point of the program `backend_stand_in`.
#include "stand_ins/backend/backend_fleet.hpp"
#include "stand_ins/support/address.hpp"
#include "stand_ins/support/run_until_signal.hpp"

#include <gflags/gflags.h>

#include <cstdio>
#include <exception>
#include <fstream>
#include <sstream>
#include <stdexcept>

DEFINE_string(servers, "", "list of servers, name@IP:PORT/slots[,...]");
DEFINE_string(servers_file, "", "file with lines 'name service IP:PORT slots connections'");
DEFINE_double(service_time_ms, 5, "mean service time in ms");
DEFINE_string(service_time_distribution, "fixed", "fixed or exponential");
DEFINE_uint64(seed, 1, "seed of the random service times");
DEFINE_double(cold_start_ms, 0, "time in ms after its start during which a server is cold");
DEFINE_double(cold_factor, 1, "factor by which the service times of a cold server are multiplied");
DEFINE_double(drain_grace_ms, 3000, "time in ms during which a draining server accepts new work");
DEFINE_double(restart_ms, 0,
              "time in ms after which a server that went down restarts; 0: only on a control message");
DEFINE_string(history, "", "file for the event log, - for standard output");
DEFINE_string(control, "127.0.0.1:0", "address of the control listener, IP:PORT; port 0 selects a free port");

namespace {

carawayway::base::duration from_milliseconds(double value) {
    return std::chrono::duration_cast<carawayway::base::duration>(
        std::chrono::duration<double, std::milli>(value));
}

std::string read_file(const std::string& path) {
    std::ifstream file(path);
    if (!file) {
        throw std::runtime_error("cannot open " + path);
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::vector<stand_ins::server_spec> read_servers() {
    auto servers = stand_ins::parse_server_list(FLAGS_servers);
    if (!FLAGS_servers_file.empty()) {
        const auto more = stand_ins::parse_server_file(read_file(FLAGS_servers_file));
        servers.insert(servers.end(), more.begin(), more.end());
    }
    return servers;
}

stand_ins::backend_options read_options() {
    stand_ins::backend_options options;
    options.service_time = from_milliseconds(FLAGS_service_time_ms);
    if (FLAGS_service_time_distribution == "exponential") {
        options.distribution = stand_ins::service_time_distribution::exponential;
    } else if (FLAGS_service_time_distribution != "fixed") {
        throw std::invalid_argument("--service-time-distribution takes fixed or exponential");
    }
    options.seed = FLAGS_seed;
    options.cold_start = from_milliseconds(FLAGS_cold_start_ms);
    options.cold_factor = FLAGS_cold_factor;
    options.drain_grace = from_milliseconds(FLAGS_drain_grace_ms);
    options.restart_after = from_milliseconds(FLAGS_restart_ms);
    options.history = FLAGS_history;
    return options;
}

} // namespace

int main(int argc, char** argv) {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    stand_ins::prepare_process();
    try {
        const auto control = stand_ins::parse_address(FLAGS_control);
        if (!control) {
            throw std::invalid_argument("--control takes IP:PORT");
        }
        const auto servers = read_servers();
        const stand_ins::backend_fleet fleet(servers, read_options(), *control);
        for (const auto& server : servers) {
            stand_ins::print_line("server=" + server.name + " listening=" + fleet.address(server.name));
        }
        stand_ins::print_line("control=" + fleet.control_address());
        stand_ins::run_until_signal();
    } catch (const std::exception& error) {
        std::fprintf(stderr, "%s\n", error.what());
        return 1;
    }
    return 0;
}
