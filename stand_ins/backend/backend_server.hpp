// One backend stand-in server with a limited number of slots, load shedding, cancellation, draining and
// injected faults. Internal to this folder.
#pragma once

#include "carawayway/net/timer.hpp"
#include "stand_ins/backend/backend_options.hpp"
#include "stand_ins/backend/load_reporter.hpp"
#include "stand_ins/backend/server_spec.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json/object.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>

namespace stand_ins {

// All functions must run on the executor, which has one thread.
class backend_server : public std::enable_shared_from_this<backend_server> {
public:
    // Opens the port. Throws boost::system::system_error on failure.
    backend_server(boost::asio::any_io_executor executor, server_spec spec, const backend_options& options,
                   execution_log& log);

    void start();                                      // starts to accept connections
    const server_spec& spec() const { return m_spec; } // contains the actual port
    std::uint32_t in_flight() const { return m_in_flight; }

    // Applies the fields of a control message, except "server". Throws std::exception for an invalid field.
    void command(const boost::json::object& message);
    boost::json::object statistics() const;

private:
    struct connection;
    struct task;
    struct reply;
    using connection_pointer = std::shared_ptr<connection>;
    using task_pointer = std::shared_ptr<task>;

    enum class task_outcome : std::uint8_t { finished, deadline_passed, client_closed, crashed };

    static boost::asio::awaitable<void> accept(std::shared_ptr<backend_server> self);
    static boost::asio::awaitable<void> serve(std::shared_ptr<backend_server> self,
                                              connection_pointer client);
    boost::asio::awaitable<void> answer(connection_pointer client, task_pointer work);
    boost::asio::awaitable<void> run(connection_pointer client, task_pointer work);
    boost::asio::awaitable<task_outcome> execute(connection_pointer client, task_pointer work);
    boost::asio::awaitable<void> wait_while_stalled(connection_pointer client);
    boost::asio::awaitable<void> swap_with_other_answer(connection_pointer client, task_pointer work);
    boost::asio::awaitable<void> write_reply(connection_pointer client, task_pointer work);
    boost::asio::awaitable<void> pause(connection_pointer client, carawayway::base::duration length);

    static void watch_for_close(const connection_pointer& client);
    static void stop_watching(const connection_pointer& client);

    bool must_refuse_work(carawayway::base::time_point now) const;
    void begin_execution(task& work);
    void end_execution(const task& work, backend_event_kind kind, const char* reason);
    void record(const task& work, backend_event_kind kind, const char* reason);
    void crash(const task* cause);
    void restart();
    void set_drain(bool draining, carawayway::base::duration grace);
    void wake_all_connections();
    void release_waiting_answer();
    carawayway::base::duration next_service_time(carawayway::base::time_point now);
    std::string load_text();
    std::string load_document();
    std::string health_document() const;

    boost::asio::any_io_executor m_executor;
    server_spec m_spec;
    const backend_options& m_options;
    execution_log& m_execution_log;
    boost::asio::ip::tcp::acceptor m_acceptor; // closed while the server is down
    carawayway::net::timer m_restart_timer;
    std::set<connection_pointer> m_connections;
    std::mt19937_64 m_random;
    load_reporter m_load;
    std::unordered_map<std::string, std::uint32_t> m_executions; // executions on this server, by request ID

    std::uint32_t m_in_flight = 0; // at most m_spec.slots
    std::uint32_t m_maximum_in_flight = 0;
    std::uint64_t m_started = 0;
    std::uint64_t m_finished = 0;
    std::uint64_t m_cancelled = 0;
    std::uint64_t m_refused = 0;
    std::uint64_t m_crashes = 0;
    std::uint64_t m_refused_connections = 0;

    carawayway::base::time_point m_warm_from;
    carawayway::base::duration m_service_time;
    carawayway::base::duration m_answer_delay{};
    carawayway::base::duration m_drain_grace;
    carawayway::base::duration m_restart_after;
    std::optional<carawayway::base::time_point> m_drain_start; // set while draining
    std::optional<std::string> m_reported_health;
    // Finished request whose answer waits to be swapped with another one. Both are null when none waits.
    connection_pointer m_waiting_client;
    task_pointer m_waiting_task;
    bool m_stall = false;
    bool m_hold = false;
    bool m_truncate = false;
    bool m_swap_answers = false;
    bool m_fail_fast = false;
};

} // namespace stand_ins
