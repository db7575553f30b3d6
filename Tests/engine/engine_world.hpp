// A simulated deployment in virtual time: entry engines, backend servers, links, a platform, and the history
// of all events. The same seed gives the same run.
//
// Regions north (failure domains n1 with the entry instances n1-a and n1-b, and n2 with n2-a) and south
// (failure domain s1 with s1-a). Each failure domain has servers for `stock` (idempotent) and `booking`
// (non-idempotent).
#pragma once

#include "Tests/engine/event_queue.hpp"
#include "Tests/engine/fake_servers.hpp"
#include "Tests/support/history.hpp"
#include "Tests/support/history_checker.hpp"
#include "carawayway/engine/entry_engine.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace carawayway::engine_test {

using engine::effects;
using engine::entry_engine;

// The step that a request or a control action has reached when a fault begins.
enum class step : std::uint8_t {
    look_up,
    admission,
    queue,
    dispatch,
    awaiting_answer,
    relaying_answer,
    passing_to_peer,
    policy_apply,
    policy_spread,
    drain,
    takeover,
    shift,
};
inline constexpr std::size_t step_count = 12;

// How entry summaries reach peers.
enum class measurement : std::uint8_t { normal, stopped, lagging, falsified };

enum class process_state : std::uint8_t { dead, running, paused };

// State of the host of a process. Connections to a dead process are refused if the host is up, and time out
// otherwise.
enum class host_state : std::uint8_t { up, down };

inline const std::vector<std::string> entry_names{"n1-a", "n1-b", "n2-a", "s1-a"};
inline const std::vector<std::string> domain_names{"n1", "n2", "s1"};

// Milliseconds since the start of the simulation.
std::int64_t elapsed(base::time_point time);
std::string domain_of_entry(const std::string& entry);
std::string region_of_domain(const std::string& domain);
config::policy base_policy();

class engine_world {
public:
    // A call into the engine, made while the process runs.
    using engine_action = std::function<void(entry_engine&, effects&)>;
    using step_handler = std::function<void(step, const std::string& entry, const std::string& server)>;
    using response_handler = std::function<void(const engine::response_ptr&)>;

    explicit engine_world(std::uint64_t seed, config::policy policy = base_policy(),
                          engine::engine_limits limits = {});

    // Entry instances.
    void start_entry(const std::string& name);
    void kill_entry(const std::string& name, host_state host = host_state::up);
    void pause_entry(const std::string& name);
    void resume_entry(const std::string& name);
    void stop_entry(const std::string& name); // graceful
    process_state state(const std::string& name) const { return m_processes.at(name).state; }
    bool running(const std::string& name) const { return state(name) == process_state::running; }
    bool was_interrupted(const std::string& name, base::time_point from, base::time_point until) const;
    const entry_engine& engine(const std::string& name) const { return *m_processes.at(name).engine; }
    // The entry instance that may dispatch to the server; empty if there is none.
    std::string owner(const std::string& server) const;

    // Network. Nodes are entry instances or "platform".
    void block(const std::string& from, const std::string& to) { m_blocked.insert({from, to}); }
    void cut(const std::string& one, const std::string& other);
    void cut_domain(const std::string& domain, const std::set<std::string>& from);
    void heal();
    void drop_link(const std::string& one, const std::string& other);
    void set_measurements(measurement value) { m_measurement = value; }

    // Platform.
    void put_policy(const config::policy& policy);
    void store_unchecked(std::string document); // as a writer that bypasses the checks
    void deliver_policy(const std::string& entry, std::int64_t revision, std::string document);
    void set_instance_state(const std::string& server, engine::instance_state state);
    void platform_down() { m_platform_up = false; }
    void platform_up();
    void platform_lag(base::duration lag) { m_platform_lag = lag; }
    const config::policy& policy() const { return m_policy; }
    std::int64_t revision() const { return m_revision; }

    // Callers. The handler is called when the response arrives, or with null if the connection breaks.
    engine::lookup_response lookup(const std::string& entry, const std::string& service,
                                   const std::string& client);
    void submit(const std::string& entry, engine::service_request request, response_handler handler);

    fake_servers& servers() { return m_servers; }
    event_queue& events() { return m_events; }
    base::time_point now() const { return m_events.now(); }
    void run_for(base::duration time) { m_events.run_for(time); }
    std::mt19937_64& random() { return m_random; }
    std::size_t choose(std::size_t count) { return m_random() % count; }
    void on_step(step_handler handler) { m_on_step = std::move(handler); }
    void record(test_support::event_content content) { m_history.push_back({now(), std::move(content)}); }
    void set_home(const std::string& id, const std::string& region) { m_homes[id] = region; }

    // The limits that the history is checked against; they are derived from the first policy.
    test_support::history_limits& limits() { return m_check_limits; }
    // Requests per second from a home region over all entry instances, which the shift cap refers to.
    void set_reference_rate(const std::string& service, const std::string& home, double per_second);
    // Rules that the run has broken, one line each.
    std::vector<std::string> violations() const;
    const test_support::history& history() const { return m_history; }

private:
    struct move {
        base::time_point time;
        std::string service;
        std::string home;
    };

    struct open_attempt {
        std::uint64_t connection = 0; // 0: not connected yet
        std::uint64_t serial = 0;
    };

    struct open_call {
        std::uint64_t link = 0;
        bool delivered = false;
    };

    struct process {
        wire::member_record record;
        std::unique_ptr<metrics::metric_registry> metrics;
        std::unique_ptr<entry_engine> engine;
        process_state state = process_state::dead;
        host_state host = host_state::up;
        std::vector<engine_action> inbox; // while paused
        std::vector<std::pair<base::time_point, base::time_point>> interruptions;
        std::map<std::uint64_t, open_attempt> attempts;
        std::map<std::uint64_t, response_handler> callers;
        std::map<std::pair<std::string, std::uint64_t>, open_call> calls; // peer and call
        std::uint64_t tick_sequence = 0; // number of the current tick sequence; older ones end
        std::int64_t published_revision = 0;
        engine::store_watch watch = engine::store_watch::off;
    };

    struct link_state {
        std::uint64_t id = 0;
        bool up = false;
        std::map<std::string, base::time_point> last_delivery; // by receiver, keeps messages in order
        std::map<std::string, base::time_point> last_heard;    // by receiver
        std::map<std::string, std::vector<action>> held;       // by receiver, while the direction is blocked
        base::time_point next_attempt{};
    };

    // engine_world.cpp
    void check_moves(std::vector<std::string>& lines) const;
    void post(base::duration delay, const std::string& name, engine_action work);
    void deliver(process& instance, engine_action work);
    void run(process& instance, const engine_action& work);
    void tick(const std::string& name, std::uint64_t tick_sequence);
    void begin_interruption(process& instance);
    void end_interruption(process& instance);
    void report_step(step value, const std::string& entry, const std::string& server = {});
    void carry_out(process& instance, engine::respond_to_caller& effect);
    void carry_out(process& instance, engine::start_attempt& effect);
    void carry_out(process& instance, engine::cancel_attempt& effect);
    void carry_out(process& instance, engine::send_to_peer& effect);
    void carry_out(process& instance, engine::broadcast_to_peers& effect);
    void carry_out(process& instance, engine::probe_server& effect);
    void carry_out(process& instance, engine::set_peer_targets& effect);
    void carry_out(process& instance, engine::publish_revision& effect);
    void carry_out(process& instance, engine::set_store_watch& effect);
    void record_move(const std::string& id, const std::string& service, const std::string& region,
                     const std::string& entry);
    bool server_reachable(const std::string& entry, const std::string& server) const;
    void check_single_owner(const std::string& sender, const std::string& server);
    void connect_attempt(process& instance, const engine::start_attempt& attempt);
    void end_attempt(const std::string& entry, std::uint64_t serial, std::uint64_t attempt,
                     engine::server_result result);
    void send_policy_to_watcher(const std::string& name);
    void send_instance_list_to_watcher(const std::string& name);
    void notify_watchers(void (engine_world::*notify)(const std::string&));

    // fake_links.cpp
    link_state& link_of(const std::string& one, const std::string& other);
    bool blocked(const std::string& from, const std::string& to) const {
        return m_blocked.contains({from, to});
    }
    base::duration delay_between(const std::string& one, const std::string& other);
    void send(process& from, const std::string& to, const wire::peer_message& message,
              std::optional<std::uint64_t> call);
    void handle_arrival(const std::string& from, const std::string& to, std::uint64_t id,
                        const wire::received_message& message, std::optional<std::uint64_t> call);
    void lose_link(const std::string& one, const std::string& other);
    void report_link_loss(const std::string& name, const std::string& peer, std::uint64_t id);
    void maintain_links();
    void maintain_link(const std::string& one, const std::string& other);
    void connect(const std::string& one, const std::string& other);
    bool report_unreachable(const std::string& name, const std::string& peer, link_state& link);

    event_queue m_events;
    std::mt19937_64 m_random;
    test_support::history m_history;
    fake_servers m_servers;
    config::policy m_policy;
    engine::engine_limits m_limits;
    std::map<std::string, process> m_processes;
    std::map<std::pair<std::string, std::string>, link_state> m_links;
    std::set<std::pair<std::string, std::string>> m_blocked; // sender and receiver
    measurement m_measurement = measurement::normal;
    std::int64_t m_revision = 0;
    std::string m_document;
    std::map<std::string, engine::instance_state> m_instances; // by server
    bool m_platform_up = true;
    base::duration m_platform_lag = std::chrono::milliseconds(5);
    std::uint64_t m_last_number = 0;
    std::uint64_t m_last_link = 0;
    std::map<std::string, std::string> m_homes; // by request ID: home region
    // Requests that an entry instance sent to a peer for execution: name of the peer and request ID.
    std::set<std::pair<std::string, std::string>> m_sent_for_execution;
    std::vector<move> m_moves;                                     // of all entry instances
    std::map<std::pair<std::string, std::string>, double> m_rates; // by service and home region
    std::map<std::string, std::string> m_last_user; // by server: entry instance that used it last
    test_support::history_limits m_check_limits;
    std::vector<std::string> m_direct_violations;
    step_handler m_on_step;
};

} // namespace carawayway::engine_test
