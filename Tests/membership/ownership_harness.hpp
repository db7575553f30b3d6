// Simulates the member tables and server ownership of several entry instances in virtual time, with message
// delays, kills, pauses and restarts. Checks that no two of them use a backend server at the same time.
#pragma once

#include "carawayway/membership/member_table.hpp"
#include "carawayway/membership/server_ownership.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace carawayway::membership {

struct harness_settings {
    ownership_settings ownership;
    base::duration longest_timeout = std::chrono::seconds(2);
    base::duration step = std::chrono::milliseconds(10);
    base::duration delay_maximum = std::chrono::milliseconds(50); // one way, per message
    std::uint64_t seed = 1;
    std::size_t full_mesh_limit = 16; // as in member_settings
    std::size_t delegates = 2;        // as in member_settings
};

// Whether each server is kept busy with requests that take up to the longest timeout.
enum class load : std::uint8_t { none, long_requests };

class ownership_harness {
public:
    explicit ownership_harness(harness_settings settings) : m_settings(settings), m_random(settings.seed) {}

    // `entries` and `servers` map a name to its failure domain. All are in one region and of one service.
    void add_entries(const std::vector<std::pair<std::string, std::string>>& entries);
    void add_servers(const std::vector<std::pair<std::string, std::string>>& servers);
    void set_load(load value) { m_load = value; }
    void set_reachable(std::function<bool(const std::string& entry, std::string_view server)> reachable) {
        m_reachable = std::move(reachable);
    }

    void start(const std::string& entry);
    void kill(const std::string& entry); // its connections are refused from now on
    void pause(const std::string& entry);
    void resume(const std::string& entry); // handles the received messages before its next tick
    void stop(const std::string& entry);   // starts a planned stop
    bool running(const std::string& entry) const;
    bool paused(const std::string& entry) const;

    void run_for(base::duration time);
    // Runs until the condition holds or the limit is reached. Returns the time that passed.
    base::duration run_until(const std::function<bool()>& condition, base::duration limit);

    base::time_point now() const { return m_now; }
    bool owns(const std::string& entry, const std::string& server) const;
    std::string owner_of(const std::string& server) const; // empty if it has none
    std::size_t owned_by(const std::string& entry) const;
    std::size_t owned_servers() const;
    server_ownership& ownership(const std::string& entry) { return *m_processes.at(entry).ownership; }

    // Uses of a server by two entry instances at once, in the order of detection.
    const std::vector<std::string>& violations() const { return m_violations; }

private:
    struct delivery {
        base::time_point at{};
        std::string from;
        std::uint64_t incarnation = 0;
        wire::peer_message message;
    };

    struct process {
        wire::member_record record;
        std::unique_ptr<member_table> members;
        std::unique_ptr<server_ownership> ownership;
        std::map<std::string, std::uint32_t, std::less<>> in_flight;
        std::uint64_t counter = 0;
        base::time_point next_heartbeat{};
        std::map<std::string, std::deque<delivery>> inbox; // by sender, in order
        std::set<std::pair<std::string, std::uint64_t>> linked_incarnations;
        std::set<std::string> needed_peers; // peers that it wants a link to
        std::uint64_t sent_claims_version = 0;
        bool alive = false;
        bool paused = false;
        bool stopping = false;
    };

    struct execution {
        std::string entry;
        std::uint64_t incarnation = 0;
        base::time_point until{};
    };

    void step();
    void deliver(process& receiver);
    void handle(process& receiver, const delivery& received);
    void connect(process& one);
    bool connected(const process& one, const process& other) const;
    void send(process& from, const std::string& to, wire::peer_message message);
    void tick(process& one);
    void dispatch_requests(process& one);
    void finish_executions();
    void check_single_owner();

    harness_settings m_settings;
    std::mt19937_64 m_random;
    base::time_point m_now{std::chrono::hours(1)};
    std::map<std::string, process> m_processes;
    std::vector<claimable_server> m_servers;
    std::map<std::string, std::vector<execution>, std::less<>> m_executions; // by server
    std::function<bool(const std::string&, std::string_view)> m_reachable;
    std::vector<std::string> m_violations;
    std::uint64_t m_next_incarnation = 1;
    load m_load = load::none;
};

} // namespace carawayway::membership
