// A gateway process, started as the deploy file says, and the platform that watches its memory.
#pragma once

#include "review/stand_ins/record.hpp"

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

struct gateway_options {
    std::string name;
    std::string zone;
    std::string region;
    std::string store_address;
    std::vector<std::pair<std::string, std::string>> zones; // zone, region
};

// The command of `deploy/system.toml`, started in the root of the repository, with the settings that
// `deploy/gateway.ini` becomes. The process is killed at the latest when this object or its thread ends.
class gateway_process {
public:
    gateway_process(record& log, std::string folder, gateway_options options);
    gateway_process(const gateway_process&) = delete;
    gateway_process(gateway_process&&) = delete;
    gateway_process& operator=(const gateway_process&) = delete;
    gateway_process& operator=(gateway_process&&) = delete;
    ~gateway_process();

    const std::string& name() const { return m_options.name; }
    unsigned short caller_port() const { return m_ports.front(); }
    unsigned short readiness_port() const { return m_ports.at(1); }

    void start();
    // For a process that has ended since another program has taken one of its ports.
    void choose_other_ports();
    void send_signal(int number) const;
    void kill_and_wait();
    bool is_running() const { return m_process > 0; }
    // Memory that the process uses now; none if it has ended.
    std::optional<std::size_t> resident_bytes() const;
    // Collects the end of a process. Returns whether it has ended since the last call.
    bool has_ended();

private:
    std::string settings() const;

    record& m_log;
    std::string m_folder;
    gateway_options m_options;
    std::vector<unsigned short> m_ports;
    pid_t m_process = 0;
};

} // namespace review
