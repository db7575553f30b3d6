// Entry point of the program `link_stand_in`.
#include "stand_ins/link/link_relay.hpp"
#include "stand_ins/support/address.hpp"
#include "stand_ins/support/run_until_signal.hpp"

#include <gflags/gflags.h>

#include <cstdio>
#include <exception>
#include <fstream>
#include <sstream>
#include <stdexcept>

DEFINE_string(route, "",
              "list of routes, [NAME=]LISTEN=TARGET[,delay_ms][,...]; the name defaults to LISTEN");
DEFINE_string(routes_file, "", "file with lines 'name LISTEN TARGET delay_ms'");
DEFINE_string(control, "127.0.0.1:0", "address of the control listener, IP:PORT; port 0 selects a free port");

namespace {

std::vector<stand_ins::route_spec> read_routes() {
    auto routes = stand_ins::parse_route_list(FLAGS_route);
    if (!FLAGS_routes_file.empty()) {
        std::ifstream file(FLAGS_routes_file);
        if (!file) {
            throw std::runtime_error("cannot open " + FLAGS_routes_file);
        }
        std::ostringstream text;
        text << file.rdbuf();
        const auto more = stand_ins::parse_route_file(text.str());
        routes.insert(routes.end(), more.begin(), more.end());
    }
    return routes;
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
        const auto routes = read_routes();
        const stand_ins::link_relay relay(routes, *control);
        for (const auto& route : routes) {
            stand_ins::print_line("route=" + route.name + " listening=" + relay.address(route.name));
        }
        stand_ins::print_line("control=" + relay.control_address());
        stand_ins::run_until_signal();
    } catch (const std::exception& error) {
        std::fprintf(stderr, "%s\n", error.what());
        return 1;
    }
    return 0;
}
