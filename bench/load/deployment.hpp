// Starts a deployment on this machine: the stand-ins, and one process for each entry instance of an example
// folder.
#pragma once

#include "bench/load/child_process.hpp"
#include "carawayway/config/policy.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/json/object.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace carawayway::bench {

struct deployment_options {
    std::string policy_file;    // its folder holds the settings entry-*.ini
    std::string program_folder; // build folder
    std::uint16_t first_port = 31000;
    double service_time_ms = 200;
    std::string service_time_distribution = "exponential";
    double domain_delay_ms = 1;          // one way, between failure domains of a region
    double region_delay_ms = 20;         // one way, between regions
    bool delay_entry_links = true;       // false: peers connect directly instead of through the link stand-in
    std::int64_t lookup_lifetime_ms = 0; // 0: as in the policy
};

struct entry_endpoints {
    std::string name;
    std::string failure_domain;
    std::string region;
    boost::asio::ip::tcp::endpoint callers;
    boost::asio::ip::tcp::endpoint peers;
    boost::asio::ip::tcp::endpoint operators;
};

class deployment {
public:
    // Writes the settings to a temporary folder and starts all processes. Throws std::runtime_error.
    explicit deployment(deployment_options options);

    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;
    deployment(deployment&&) = delete;
    deployment& operator=(deployment&&) = delete;
    ~deployment();

    const config::policy& policy() const { return m_policy; } // with the server addresses of this deployment
    const std::vector<entry_endpoints>& entries() const { return m_entries; }

    // Waits until all slots of all servers are usable. Returns false after the timeout.
    bool wait_for_capacity(base::duration timeout) const;
    // Sum of the usable slots in the metrics of all entry instances. Blocks for a few milliseconds.
    std::uint32_t usable_slots() const;
    // Number of connections between entry instances that go through the link stand-in.
    std::size_t delayed_links() const;

    child_process& process(const std::string& entry) { return m_processes.at(entry); }
    boost::json::object server_statistics(const std::string& server) const;
    // Marks a server as leaving in the platform's instance list.
    void announce_leaving(const std::string& server) const;

private:
    void read_policy();
    void read_entries();
    void write_files() const;
    std::string settings_text(std::size_t own) const;
    std::string routes_text() const;
    void start_stand_ins();
    void start_entries();
    void store(const std::string& key, const std::string& value) const;
    boost::asio::ip::tcp::endpoint port(std::uint16_t offset) const;
    std::uint16_t route_port(std::size_t from, std::size_t to) const;
    double delay_between(const entry_endpoints& from, const entry_endpoints& to) const;
    std::string file(const std::string& name) const { return m_folder + "/" + name; }

    deployment_options m_options;
    std::string m_folder;
    config::policy m_policy;
    std::vector<entry_endpoints> m_entries;
    std::map<std::string, child_process> m_processes; // by name of the entry instance or stand-in
};

} // namespace carawayway::bench
