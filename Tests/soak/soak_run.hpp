// One seeded run: gateway processes, a store, backend servers and callers, under faults in series that
// overlap.
#pragma once

#include "Tests/soak/run_record.hpp"
#include "Tests/soak/server_stand_in.hpp"
#include "Tests/soak/soak_caller.hpp"
#include "Tests/soak/store_stand_in.hpp"
#include "Tests/support/process_harness.hpp"

#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <thread>

namespace carawayway::soak {

struct soak_options {
    std::uint32_t seed = 1;
    std::chrono::milliseconds length{6000}; // of the part with faults
    // Checks of how long answers take; for runs by hand, as a busy machine delays them too.
    enum class timing : std::uint8_t { ignored, checked } times = timing::ignored;
};

class soak_run {
public:
    explicit soak_run(soak_options options);
    soak_run(const soak_run&) = delete;
    soak_run(soak_run&&) = delete;
    soak_run& operator=(const soak_run&) = delete;
    soak_run& operator=(soak_run&&) = delete;
    ~soak_run();

    // Plays the run. Returns the promises that were broken, one line each; empty when all were kept.
    std::vector<std::string> play();

    std::size_t requests() const { return m_record.attempts.size(); }
    const std::string& folder() const { return m_folder.path(); }

private:
    enum class process_state : std::uint8_t { running, paused, stopping, ended };
    struct disruption {
        clock::time_point from;
        clock::time_point to;
        bool is_planned = false; // SIGTERM or SIGHUP: no request may be cut
    };
    struct gateway {
        std::string name;
        std::string domain;
        std::string region;
        std::string caller_address;
        std::string readiness_address;
        std::string settings;
        std::unique_ptr<test_support::child_process> process;
        process_state state = process_state::ended;
        int starts = 0;
        std::vector<disruption> disruptions;
    };
    struct later_action {
        clock::time_point when;
        std::function<void()> act;
        bool operator<(const later_action& other) const { return when > other.when; }
    };

    void add_gateway(const std::string& name, const std::string& domain, const std::string& region);
    void start_process(gateway& target);
    void end_process(gateway& target, int signal);
    gateway* random_running();
    // Runs on the loop's thread, and waits for it.
    void on_loop(const std::function<void()>& action);
    void later(std::chrono::milliseconds delay, std::function<void()> action);
    void act_until(clock::time_point end);
    std::chrono::milliseconds random_time(int least_ms, int most_ms);

    void put_configuration();
    void begin_fault();
    void kill_gateway();
    void pause_gateway();
    void stop_gateway();
    void reload_gateway();
    void disturb_store();
    void disturb_server();
    void drain_server();

    bool probe(const std::string& address, const std::string& target, unsigned status) const;
    void heal();
    void check_recovery();
    void check_drained();
    void check_attempts();
    void report(std::string finding);

    soak_options m_options;
    std::mt19937 m_random;
    test_support::temporary_folder m_folder;
    std::vector<std::unique_ptr<test_support::reserved_port>> m_ports;
    run_record m_record;
    boost::asio::io_context m_context{1};
    store_stand_in m_store;
    std::vector<std::unique_ptr<server_stand_in>> m_servers;
    std::vector<std::unique_ptr<soak_caller>> m_callers;
    std::vector<std::unique_ptr<gateway>> m_gateways;
    std::priority_queue<later_action> m_later;
    std::uint64_t m_version = 0;
    std::size_t m_drained = 0;
    std::vector<std::string> m_findings;
    std::thread m_loop;
};

} // namespace carawayway::soak
