// Starts child processes with fork and exec, and reserves ports and folders for tests.
#include "Tests/support/process_harness.hpp"

#include <arpa/inet.h>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <netinet/in.h>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace carawayway::test_support {

namespace {

constexpr auto wait_timeout = std::chrono::seconds(45);
constexpr auto poll_interval = std::chrono::milliseconds(2);

// Runs in the child between fork and exec, where only async-signal-safe calls are allowed.
[[noreturn]] void run_program(char* const* arguments, const char* output_file) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output = ::open(output_file, O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    // Closes inherited sockets: a socket of the stand-ins stays open while any process holds a copy of it.
    ::close_range(STDERR_FILENO + 1, ~0U, 0);
    ::execv(arguments[0], arguments);
    ::_exit(127);
}

} // namespace

bool wait_until(const std::function<bool()>& condition) {
    const auto end = std::chrono::steady_clock::now() + wait_timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return true;
}

temporary_folder::temporary_folder()
    : m_path((std::filesystem::temp_directory_path() / "carawayway-XXXXXX").string()) {
    if (::mkdtemp(m_path.data()) == nullptr) {
        throw std::runtime_error("cannot create a temporary folder");
    }
}

temporary_folder::~temporary_folder() {
    std::error_code ignored;
    std::filesystem::remove_all(m_path, ignored);
}

void temporary_folder::write(const std::string& name, std::string_view text) const {
    std::ofstream(m_path + "/" + name) << text;
}

std::string read_text(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

reserved_port::reserved_port() : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = ::htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    if (::bind(m_socket, generic, size) != 0 || ::getsockname(m_socket, generic, &size) != 0) {
        throw std::runtime_error("cannot reserve a port");
    }
    m_number = ::ntohs(address.sin_port);
}

reserved_port::~reserved_port() {
    ::close(m_socket);
}

child_process::child_process(const std::vector<std::string>& arguments, std::string output_file)
    : m_output_file(std::move(output_file)) {
    std::vector<std::string> copies = arguments;
    std::vector<char*> pointers;
    pointers.reserve(copies.size() + 1);
    for (auto& argument : copies) {
        pointers.push_back(argument.data());
    }
    pointers.push_back(nullptr);
    m_pid = ::fork();
    if (m_pid == 0) {
        run_program(pointers.data(), m_output_file.c_str());
    }
    if (m_pid < 0) {
        throw std::runtime_error("cannot start " + arguments.front());
    }
}

child_process::~child_process() {
    if (!m_result) {
        send_signal(SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
    }
}

void child_process::send_signal(int number) const {
    if (!m_result) {
        ::kill(m_pid, number);
    }
}

bool child_process::has_ended() {
    int status = 0;
    if (!m_result && ::waitpid(m_pid, &status, WNOHANG) == m_pid) {
        m_result = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    }
    return m_result.has_value();
}

std::optional<int> child_process::wait() {
    wait_until([this] { return has_ended(); });
    return m_result;
}

std::vector<std::string> child_process::lines_with(std::string_view text) const {
    std::vector<std::string> found;
    std::istringstream lines(output());
    for (std::string line; std::getline(lines, line);) {
        if (line.find(text) != std::string::npos) {
            found.push_back(line);
        }
    }
    return found;
}

} // namespace carawayway::test_support
