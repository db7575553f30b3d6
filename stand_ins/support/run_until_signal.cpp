// Signal handling, process limits and line output of the stand-in programs.
#include "stand_ins/support/run_until_signal.hpp"

#include <csignal>
#include <cstdio>
#include <sys/resource.h>

namespace stand_ins {

namespace {

sigset_t stop_signals() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    return signals;
}

} // namespace

void prepare_process() {
    const sigset_t signals = stop_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    rlimit files{};
    if (getrlimit(RLIMIT_NOFILE, &files) == 0) {
        files.rlim_cur = files.rlim_max;
        setrlimit(RLIMIT_NOFILE, &files);
    }
}

void run_until_signal() {
    const sigset_t signals = stop_signals();
    int received = 0;
    sigwait(&signals, &received);
}

void print_line(std::string_view line) {
    std::fwrite(line.data(), 1, line.size(), stdout);
    std::fputc('\n', stdout);
    std::fflush(stdout);
}

} // namespace stand_ins
