// Implements child_process with fork, exec and waitpid.
#include "bench/load/child_process.hpp"

#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <system_error>
#include <thread>
#include <unistd.h>
#include <utility>

namespace carawayway::bench {

namespace {

constexpr auto stop_timeout = std::chrono::milliseconds(300);
constexpr auto stop_poll_interval = std::chrono::milliseconds(5);
constexpr int exec_failed = 127;

[[noreturn]] void run_program(std::vector<char*>& arguments, const std::string& log_file) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = open(log_file.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execv(arguments.front(), arguments.data());
    _exit(exec_failed);
}

} // namespace

child_process::child_process(const std::vector<std::string>& arguments, const std::string& log_file) {
    std::vector<char*> pointers;
    pointers.reserve(arguments.size() + 1);
    for (const auto& argument : arguments) {
        pointers.push_back(const_cast<char*>(argument.c_str()));
    }
    pointers.push_back(nullptr);
    m_id = fork();
    if (m_id < 0) {
        throw std::system_error(errno, std::generic_category(), "fork");
    }
    if (m_id == 0) {
        run_program(pointers, log_file);
    }
}

child_process::child_process(child_process&& other) noexcept : m_id(std::exchange(other.m_id, -1)) {}

child_process::~child_process() {
    if (m_id < 0) {
        return;
    }
    send_signal(SIGTERM);
    const auto give_up = base::monotonic_now() + stop_timeout;
    while (!ended() && base::monotonic_now() < give_up) {
        std::this_thread::sleep_for(stop_poll_interval);
    }
    if (m_id >= 0) {
        send_signal(SIGKILL);
        waitpid(m_id, nullptr, 0);
    }
}

void child_process::send_signal(int number) const {
    if (m_id > 0) {
        kill(m_id, number);
    }
}

bool child_process::ended() {
    if (m_id < 0) {
        return true;
    }
    if (waitpid(m_id, nullptr, WNOHANG) == m_id) {
        m_id = -1;
    }
    return m_id < 0;
}

} // namespace carawayway::bench
