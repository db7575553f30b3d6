// Starts, watches and ends gateway processes.
#include "review/stand_ins/gateway.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <memory>
#include <random>
#include <set>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr std::size_t port_count = 7;

// Below those from which the system takes the ports of outgoing connections.
constexpr int first_port = 20000;
constexpr int last_port = 31999;

bool is_free(unsigned short port) {
    namespace ip = boost::asio::ip;
    boost::asio::io_context context;
    boost::system::error_code error;
    ip::tcp::acceptor connections(context, ip::tcp::v4());
    connections.bind({ip::address_v4::loopback(), port}, error);
    if (error) {
        return false;
    }
    ip::udp::socket datagrams(context, ip::udp::v4());
    datagrams.bind({ip::address_v4::loopback(), port}, error);
    return !error;
}

// Ports that are free for TCP and UDP at this moment.
std::vector<unsigned short> free_ports() {
    static std::mt19937 random{std::random_device{}()};
    static std::set<unsigned short> chosen_before;
    std::vector<unsigned short> ports;
    while (ports.size() < port_count) {
        const auto port =
            static_cast<unsigned short>(std::uniform_int_distribution<int>{first_port, last_port}(random));
        if (chosen_before.insert(port).second && is_free(port)) {
            ports.push_back(port);
        }
    }
    return ports;
}

} // namespace

gateway_process::gateway_process(record& log, std::string folder, gateway_options options)
    : m_log(log), m_folder(std::move(folder)), m_options(std::move(options)), m_ports(free_ports()) {}

gateway_process::~gateway_process() {
    kill_and_wait();
}

std::string gateway_process::settings() const {
    const auto address = [this](std::size_t index) {
        return "127.0.0.1:" + std::to_string(m_ports.at(index));
    };
    std::string text = "[gateway]\nname = " + m_options.name + "\nfailure_domain = " + m_options.zone +
                       "\nregion = " + m_options.region + "\ncaller_address = " + address(0) +
                       "\nreadiness_address = " + address(1) + "\nlookup_address = " + address(2) +
                       "\npeer_address = " + address(3) + "\nmetrics_address = " + address(4) +
                       "\nnotice_address = " + address(5) + "\nrelay_address = " + address(6);
    text += "\nbounds = seedStalenessS=3,reuseDelayS=2,touchMs=3000,ackMs=4000,catchUpS=4,drainMs=2500,"
            "graceS=6,lossSlackMs=200,configApplyMs=2500,rollbackSlackMs=250,maxStretchMs=5000,"
            "budgetRatio=0.2,budgetWindowS=10,budgetSlack=60,coldOver=1.5,coldSlack=5,evacMs=5000,"
            "recoverS=15,ttl_max_s=5,shiftMost=0.15\nlog_level = info\n"
            "[store]\naddress = " +
            m_options.store_address +
            "\nshortest_lease_ms = 1000\n[machine]\nlink_megabits = 1000.0\nprocessor_share = 0.2\n";
    for (const auto& [zone, region] : m_options.zones) {
        text.append("[domain ").append(zone).append("]\nregion = ").append(region).append("\n");
    }
    return text;
}

void gateway_process::choose_other_ports() {
    m_ports = free_ports();
}

void gateway_process::start() {
    const auto settings_file = m_folder + "/" + m_options.name + ".ini";
    std::ofstream(settings_file) << settings();
    const auto log_file = m_folder + "/" + m_options.name + ".log";
    const auto boot = "CARAWAYWAY_BOOT=" + settings_file;
    std::array<int, 2> program_runs{}; // closed when the child runs the program, or has ended
    if (::pipe2(program_runs.data(), O_CLOEXEC) != 0) {
        throw std::runtime_error("no pipe could be opened");
    }
    m_process = ::fork();
    if (m_process < 0) {
        throw std::runtime_error("no process could be started");
    }
    if (m_process == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output = ::open(log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        std::array<const char*, 5> arguments{"target/carawayway", "gateway", "--settings",
                                             settings_file.c_str(), nullptr};
        std::array<const char*, 4> environment{boot.c_str(), "PATH=/usr/bin:/bin", "LANG=C", nullptr};
        ::execve(arguments.front(), const_cast<char* const*>(arguments.data()),
                 const_cast<char* const*>(environment.data()));
        ::_exit(127);
    }
    // Until then the memory of the child is that of this process.
    ::close(program_runs.back());
    char byte = 0;
    while (::read(program_runs.front(), &byte, 1) < 0 && errno == EINTR) {
    }
    ::close(program_runs.front());
    m_log.line("platform: " + m_options.name + " is started");
}

void gateway_process::send_signal(int number) const {
    if (m_process > 0) {
        ::kill(m_process, number);
    }
}

void gateway_process::kill_and_wait() {
    if (m_process > 0) {
        ::kill(m_process, SIGCONT);
        ::kill(m_process, SIGKILL);
        int status = 0;
        ::waitpid(m_process, &status, 0);
        m_process = 0;
    }
}

std::optional<std::size_t> gateway_process::resident_bytes() const {
    if (m_process <= 0) {
        return std::nullopt;
    }
    std::ifstream statistics("/proc/" + std::to_string(m_process) + "/statm");
    std::size_t all_pages = 0;
    std::size_t resident_pages = 0;
    if (!(statistics >> all_pages >> resident_pages)) {
        return std::nullopt;
    }
    return resident_pages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

bool gateway_process::has_ended() {
    int status = 0;
    if (m_process > 0 && ::waitpid(m_process, &status, WNOHANG) == m_process) {
        m_process = 0;
        m_log.line("platform: " + m_options.name + " has ended by itself, status " + std::to_string(status));
        return true;
    }
    return false;
}

} // namespace review
