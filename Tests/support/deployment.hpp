// A test deployment: entries run as child processes; the platform, the backend servers and the links between
// regions are stand-ins inside the test process. Each deployment uses its own loopback port.
#pragma once

#include "Tests/support/history_checker.hpp"
#include "Tests/support/process_harness.hpp"
#include "stand_ins/backend/backend_fleet.hpp"
#include "stand_ins/link/link_relay.hpp"
#include "stand_ins/platform/platform_server.hpp"

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace carawayway::test_support {

// Collects the events of one test run. Thread-safe.
class history_recorder {
public:
    void add(event_content content) { add(std::move(content), base::monotonic_now()); }
    void add(event_content content, base::time_point time);
    history snapshot() const;
    // Number of executions that started on the server after the given time.
    std::size_t count_starts(const std::string& server, base::time_point after) const;

private:
    mutable std::mutex m_mutex;
    history m_events;
};

struct entry_spec {
    std::string name; // DOMAIN-NUMBER
    std::string domain;
    std::string region;
};

struct service_spec {
    std::string name;
    config::request_semantics semantics;
    std::uint32_t servers_per_domain;
};

struct deployment_options {
    std::vector<entry_spec> entries;
    std::vector<service_spec> services;
    int service_time_ms = 10;
};

constexpr std::uint32_t slots_per_server = 3;

class deployment {
public:
    // Starts the stand-ins and stores the first policy. Does not start any entry.
    explicit deployment(deployment_options options);
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;
    deployment(deployment&&) = delete;
    deployment& operator=(deployment&&) = delete;
    ~deployment(); // prints the last bytes of each entry log when the test failed

    // Starts every entry and waits until each server has an owner.
    void start();
    // Starts or restarts one entry and waits until it is ready.
    void start_entry(const std::string& name);
    child_process& entry(const std::string& name) { return *m_processes.at(name); }

    const std::vector<entry_spec>& entries() const { return m_options.entries; }
    const std::vector<service_spec>& services() const { return m_options.services; }
    // Names of the servers of all services in one failure domain.
    std::vector<std::string> servers_in(const std::string& domain) const;
    std::string server_address(const std::string& server) const { return m_backend->address(server); }
    std::string caller_address(const std::string& name) const;
    // Source address for callers whose home region is `region`.
    std::string source_address_in(const std::string& region) const;

    // Address of the store itself; requests to it bypass the link stand-in.
    std::string store_address() const { return m_platform.address(); }
    void put(const std::string& key, const std::string& value) const;
    std::string policy_text(const std::string& change_id) const;

    void control_platform(const std::string& message) { m_platform.control(message); }
    void control_servers(const std::string& message) { m_backend->control(message); }
    // Sends a control message with these fields, for example "stall":"to_target", to every route from an
    // entry of `from_region` to an entry of `to_region`.
    void control_links(const std::string& from_region, const std::string& to_region,
                       const std::string& fields);

    history_recorder& recorder() { return m_recorder; }
    // Checks the history recorded so far and adds a test failure for each violation.
    void expect_no_violations();

private:
    struct server_description {
        std::string name;
        std::string service;
        std::string domain;
        std::string region;
    };

    std::size_t index_of(const std::string& name) const;
    std::string entry_address(const std::string& name, int kind) const;
    std::string settings_text(const entry_spec& entry) const;
    void start_backend();
    void start_links();
    void record(const stand_ins::backend_event& event);

    deployment_options m_options;
    temporary_folder m_folder;
    reserved_port m_port;
    history_recorder m_recorder;
    std::vector<server_description> m_servers;
    std::map<std::string, std::string> m_server_regions;
    stand_ins::platform_server m_platform;
    std::unique_ptr<stand_ins::backend_fleet> m_backend;
    std::unique_ptr<stand_ins::link_relay> m_links;
    std::map<std::string, int> m_starts; // number of starts of each entry
    std::map<std::string, std::unique_ptr<child_process>> m_processes;
};

} // namespace carawayway::test_support
