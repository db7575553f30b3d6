// Entry point of the program `platform_stand_in`.
#include "stand_ins/platform/platform_server.hpp"
#include "stand_ins/support/address.hpp"
#include "stand_ins/support/run_until_signal.hpp"

#include <gflags/gflags.h>

#include <cstdio>
#include <exception>

DEFINE_string(listen, "127.0.0.1:0", "address of the store, IP:PORT; port 0 selects a free port");
DEFINE_string(control, "127.0.0.1:0", "address of the control listener, IP:PORT; port 0 selects a free port");

int main(int argc, char** argv) {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto listen = stand_ins::parse_address(FLAGS_listen);
    const auto control = stand_ins::parse_address(FLAGS_control);
    if (!listen || !control) {
        std::fputs("--listen and --control take IP:PORT\n", stderr);
        return 2;
    }
    stand_ins::prepare_process();
    try {
        const stand_ins::platform_server server(*listen, *control);
        stand_ins::print_line("listening=" + server.address());
        stand_ins::print_line("control=" + server.control_address());
        stand_ins::run_until_signal();
    } catch (const std::exception& error) {
        std::fprintf(stderr, "%s\n", error.what());
        return 1;
    }
    return 0;
}
