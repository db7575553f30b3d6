// One gateway as a separate process, with the command of the deploy file and settings like those that the
// platform fills into deploy/gateway.ini for the small deployment ktl-tiski.
#pragma once

#include "review/world_2/net.hpp"
#include "review/world_2/record.hpp"

#include <array>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <string>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <vector>

namespace review {

// Ports that were free a moment ago, all different.
inline std::vector<std::uint16_t> free_ports(std::size_t count) {
    std::vector<int> held;
    std::vector<std::uint16_t> ports;
    for (std::size_t index = 0; index < count; ++index) {
        std::uint16_t port = 0;
        held.push_back(listen_at_free_port(port));
        ports.push_back(port);
    }
    for (const int descriptor : held) {
        ::close(descriptor);
    }
    return ports;
}

class gateway {
public:
    // `folder` is a temporary one, for the settings and the log.
    gateway(std::string name, std::string zone, std::string folder, std::uint16_t store_port)
        : m_name(std::move(name)), m_zone(std::move(zone)), m_folder(std::move(folder)),
          m_store_port(store_port), m_ports(free_ports(6)) {}
    gateway(const gateway&) = delete;
    gateway(gateway&&) = delete;
    gateway& operator=(const gateway&) = delete;
    gateway& operator=(gateway&&) = delete;
    ~gateway() { kill_now(); }

    const std::string& name() const { return m_name; }
    std::uint16_t caller_port() const { return m_ports.at(0); }

    bool start() {
        const auto settings = m_folder + "/" + m_name + ".ini";
        write_settings(settings);
        const auto log = m_folder + "/" + m_name + ".log";
        m_process = ::fork();
        if (m_process == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(output, STDOUT_FILENO);
            ::dup2(output, STDERR_FILENO);
            ::execl("target/carawayway", "target/carawayway", "gateway", "--settings", settings.c_str(),
                    static_cast<char*>(nullptr));
            ::_exit(127);
        }
        return m_process > 0;
    }

    // Whether /ready answers with 200 within ten seconds.
    bool wait_until_ready() const {
        const auto end = clock::now() + std::chrono::seconds{10};
        while (clock::now() < end) {
            if (is_ready()) {
                return true;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds{100});
        }
        return false;
    }

    bool is_ready() const {
        const int connection = connect_to(m_ports.at(1));
        if (connection < 0) {
            return false;
        }
        set_timeout(connection, std::chrono::seconds{1});
        send_all(connection, "GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
        const auto head = reader(connection).read_head();
        ::close(connection);
        return head && head->status() == 200;
    }

    void signal(int number) const {
        if (m_process > 0) {
            ::kill(m_process, number);
        }
    }

    // Waits for the end of the process, which is killed at the end of the grace time, as by the platform.
    void wait_for_end(std::chrono::milliseconds grace) {
        const auto end = clock::now() + grace;
        while (m_process > 0 && clock::now() < end) {
            if (::waitpid(m_process, nullptr, WNOHANG) == m_process) {
                m_process = -1;
                return;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds{10});
        }
        kill_now();
    }

    void kill_now() {
        if (m_process > 0) {
            ::kill(m_process, SIGKILL);
            ::waitpid(m_process, nullptr, 0);
            m_process = -1;
        }
    }

    bool is_running() const { return m_process > 0 && ::waitpid(m_process, nullptr, WNOHANG) == 0; }

private:
    void write_settings(const std::string& path) const {
        std::ofstream file(path);
        const auto address = [this](std::size_t index) {
            return fmt::format("127.0.0.1:{}", m_ports.at(index));
        };
        file << "[gateway]\nname = " << m_name << "\nfailure_domain = " << m_zone
             << "\nregion = " << region_of(m_zone) << "\ncaller_address = " << address(0)
             << "\nreadiness_address = " << address(1) << "\nlookup_address = " << address(2)
             << "\npeer_address = " << address(3) << "\nmetrics_address = " << address(4)
             << "\nnotice_address = " << address(5) << "\nrelay_address = " << address(5)
             << "\nquota_address = " << address(4) << "\nseeds = " << address(3)
             << "\nbounds = seedStalenessS=3,reuseDelayS=2,touchMs=3000,ackMs=4000,catchUpS=4,drainMs=2500,"
                "graceS=6,lossSlackMs=200,configApplyMs=2500,rollbackSlackMs=250,maxStretchMs=5000,"
                "budgetRatio=0.2,budgetWindowS=10,budgetSlack=60,coldOver=1.5,coldSlack=5,evacMs=5000,"
                "recoverS=15,ttl_max_s=5,shiftMost=0.15\nlog_level = info\n[store]\naddress = 127.0.0.1:"
             << m_store_port
             << "\nshortest_lease_ms = 1000\n[machine]\nlink_megabits = 1000.0\nmemory_megabytes = 260\n"
                "processor_share = 0.2\n";
        for (const auto* const zone : {"hki-a", "hki-b", "tre-a", "tre-b", "oulu-a", "oulu-b"}) {
            file << "[domain " << zone << "]\nregion = " << region_of(zone) << "\n";
        }
    }

    static std::string region_of(const std::string& zone) {
        return zone.rfind("hki", 0) == 0 ? "uusimaa" : zone.rfind("tre", 0) == 0 ? "pirkanmaa" : "pohjanmaa";
    }

    std::string m_name;
    std::string m_zone;
    std::string m_folder;
    std::uint16_t m_store_port;
    std::vector<std::uint16_t> m_ports;
    ::pid_t m_process = -1;
};

} // namespace review
