// A small deployment on loopback: the platform's store, backend servers, gateway processes and clients. All
// stand-ins keep to the users' pages.
#pragma once

#include "Tests/soak/http_server.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review {

namespace soak = carawayway::soak;
namespace json = boost::json;
using clock = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

// Seconds since the program began, for the record.
double seconds(clock::time_point time);

// The store. Its calls, answers and leases are those of the page on the protocol.
class kv_store {
public:
    explicit kv_store(boost::asio::io_context& context);

    // While the store is busy, it answers 503, and its leases pause or expire.
    enum class state : std::uint8_t { serving, busy_with_pause, busy_with_lapse };

    void set_state(state next);
    // As the operator and the servers write.
    void put(const std::string& key, const json::object& value);
    void erase(const std::string& key);
    bool has(const std::string& key) const { return m_items.contains(key); }

    boost::asio::awaitable<std::optional<soak::http_response>> handle(soak::http_request request);

private:
    struct item {
        std::string value; // in base64
        std::int64_t revision = 0;
        std::int64_t lease = 0;
    };
    struct change {
        std::string key;
        std::int64_t revision = 0;
        bool deleted = false;
        item written;
    };
    struct lease {
        milliseconds lifetime{};
        clock::time_point ends;
    };

    boost::asio::awaitable<void> expire_leases();
    boost::asio::awaitable<soak::http_response> watch(std::map<std::string, std::string> query);
    soak::http_response list(const std::string& prefix, const std::string& after) const;
    soak::http_response transact(const json::object& call);
    void write(const std::string& key, std::string value, std::int64_t lease_id);
    void remove(const std::string& key);
    void end_lease(std::int64_t id);
    void wake_watches();

    state m_state = state::serving;
    clock::time_point m_paused_since; // meaningful while leases pause
    std::map<std::string, item> m_items;
    std::vector<change> m_changes; // all since the start
    std::map<std::int64_t, lease> m_leases;
    std::int64_t m_revision = 10;
    std::int64_t m_last_lease = 70'000;
    std::set<boost::asio::steady_timer*> m_waiting;
};

struct run {
    std::string request_id;
    std::string server;
    std::string service;
    std::string account;
    clock::time_point at;

    bool operator==(const run&) const = default;
};

struct server_spec {
    std::string id;
    std::string service;
    std::string zone;
    int slots = 6;
    milliseconds work{20};
    milliseconds cold_left{}; // at its start

    bool operator==(const server_spec&) const = default;
};

// A sound server. It runs as many requests at once as it has slots, and says of others that they have not
// run.
class server {
public:
    server(boost::asio::io_context& context, server_spec spec, std::vector<run>& runs);

    json::object entry() const;
    const server_spec& spec() const { return m_spec; }

    using request_predicate = std::function<bool(const soak::http_request&)>;
    // The server crashes when it begins to run a request for which `crashes` is true; `on_crash` runs then.
    void crash_on(request_predicate crashes, std::function<void()> on_crash) {
        m_crashes = std::move(crashes);
        m_on_crash = std::move(on_crash);
    }

private:
    boost::asio::awaitable<std::optional<soak::http_response>> handle(soak::http_request request);

    server_spec m_spec;
    std::vector<run>& m_runs;
    int m_running = 0;
    clock::time_point m_started = clock::now();
    request_predicate m_crashes = [](const soak::http_request&) { return false; };
    std::function<void()> m_on_crash;
    soak::http_server m_listener;
};

struct gateway_spec {
    std::string name;
    std::string zone;

    bool operator==(const gateway_spec&) const = default;
};

struct world_spec {
    std::map<std::string, std::string> region_of_zone;
    std::vector<gateway_spec> gateways;
    std::vector<server_spec> servers;
    std::string bounds; // NAME=VALUE, with commas

    bool operator==(const world_spec&) const = default;
};

struct answer {
    unsigned status = 0; // 0: no connection, or no whole answer
    std::string body;
    std::string retry_after;

    bool operator==(const answer&) const = default;
};

class world {
public:
    // `program` is the program of the deploy file.
    world(world_spec spec, std::string program);
    world(const world&) = delete;
    world(world&&) = delete;
    world& operator=(const world&) = delete;
    world& operator=(world&&) = delete;
    ~world(); // kills the processes

    std::size_t machines() const { return m_machines.size(); }
    const gateway_spec& machine(std::size_t index) const { return m_spec.gateways.at(index); }
    std::string front(std::size_t index) const;
    std::string directory(std::size_t index) const;

    void start(std::size_t index);
    void kill(std::size_t index);
    bool is_ready(std::size_t index) const;
    // Returns false when some are not ready in time.
    bool wait_until_ready(milliseconds longest) const;

    // Writes a configuration and returns when the store has acknowledged it.
    clock::time_point configure(const json::object& configuration);
    void set_store(kv_store::state state);
    bool store_has(const std::string& key);
    std::vector<run> runs();
    // From now on servers crash when they begin to run a request to this target. Each is back after some
    // seconds, with a new ID.
    void crash_servers_on(const std::string& target);

    // Lines for the record, each with the time.
    void note(const std::string& line);
    void write_record(const std::string& file);

private:
    struct machine_state {
        std::map<std::string, std::string> addresses; // by the name in the settings
        std::string settings;
        pid_t process = 0; // 0: none
    };

    void run_on_loop(const std::function<void()>& action);
    void add_server(const server_spec& spec);
    boost::asio::awaitable<void> replace(server_spec crashed);
    std::string settings_of(std::size_t index) const;

    world_spec m_spec;
    std::string m_program;
    std::string m_folder;
    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    kv_store m_store;
    soak::http_server m_store_listener;
    std::vector<run> m_runs;
    std::vector<std::unique_ptr<server>> m_servers; // also those that have crashed
    std::string m_crashing_target;                  // empty: none
    std::size_t m_crashes = 0;
    std::vector<machine_state> m_machines;
    std::mutex m_notes_mutex;
    std::vector<std::string> m_notes;
    std::thread m_loop;
};

// Sends one request over a new connection and waits for the answer, `longest` at most.
answer send(const std::string& address, const std::string& head, milliseconds longest);

// A POST request with this body that closes the connection.
std::string post_request(const std::string& target, const std::string& host, const std::string& request_id,
                         const std::vector<std::pair<std::string, std::string>>& headers,
                         const std::string& body);

// The head of a GET request that closes the connection.
std::string get_head(const std::string& target, const std::string& host, const std::string& request_id,
                     const std::vector<std::pair<std::string, std::string>>& headers);

} // namespace review
