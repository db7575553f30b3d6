// Gateway processes with a store and backend servers of the test process. A server ends when it executes a
// request under a crashing path, and another incarnation takes its place some seconds later.
#pragma once

#include "Tests/soak/gateway_settings.hpp"
#include "Tests/soak/http_server.hpp"
#include "Tests/soak/linked_servers.hpp"
#include "Tests/soak/rest_limit.hpp"
#include "Tests/soak/retry_limit.hpp"
#include "Tests/soak/run_record.hpp"
#include "Tests/soak/server_stand_in.hpp"
#include "Tests/soak/store_stand_in.hpp"
#include "Tests/support/process_harness.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace carawayway::gateway_processes {

struct answer {
    unsigned status = 0; // 0: the connection failed or ended without a response
    bool has_retry_after = false;
    bool was_connected = true; // the gateway accepted the connection; always with a status

    bool operator==(const answer&) const = default;
};

// Lines of the settings of gateways beside the usual ones.
struct fleet_limits {
    std::string gateway_lines; // of the section of the gateway
    std::string sections;

    bool operator==(const fleet_limits&) const = default;
};

class gateway_fleet {
public:
    static constexpr std::size_t default_gateway_count = 4;
    // The limit in the settings of the gateways.
    static constexpr soak::retry_limit retry_limit{0.2, 60.0, std::chrono::milliseconds{10'000}};
    static constexpr const char* usual_object = "17";
    // Requests for this object end no server.
    static constexpr const char* harmless_object = "harmless";
    // A server that executes a request under one of these ends.
    static constexpr const char* crashing_lookup = "/read/crash/";
    static constexpr const char* crashing_booking = "/book/crash/";

    // Starts everything, and returns when the gateways are ready. The gateways of `behind_links` reach the
    // servers that run now only over links that set_link_fault() can cut. `programs` has the gateways that
    // run another program than the one built here. `limits` are those of all gateways.
    explicit gateway_fleet(
        std::string crashing_prefix,
        soak::server_stand_in::end_kind end_kind = soak::server_stand_in::end_kind::reset_connections,
        std::size_t gateways = default_gateway_count, const std::set<std::size_t>& behind_links = {},
        const std::map<std::size_t, std::string>& programs = {}, const fleet_limits& limits = {});
    gateway_fleet(const gateway_fleet&) = delete;
    gateway_fleet(gateway_fleet&&) = delete;
    gateway_fleet& operator=(const gateway_fleet&) = delete;
    gateway_fleet& operator=(gateway_fleet&&) = delete;
    ~gateway_fleet();

    std::size_t gateway_count() const { return m_gateways.size(); }

    // Sends a request with a new request ID to a gateway over a new connection, and waits for the response.
    // May be called on several threads.
    answer send(std::size_t index, const std::string& method, const std::string& path,
                const std::string& object = usual_object);

    // The address at which a gateway takes requests of callers.
    std::string caller_address(std::size_t index) const { return m_gateways.at(index)->ports.callers(); }

    // The address at which a gateway takes requests of other gateways for records of the store.
    std::string peer_address(std::size_t index) const { return m_gateways.at(index)->ports.peers(); }

    // Records a new request to this gateway and returns it, with "Connection: close".
    soak::http_request make_request(std::size_t gateway_index, const std::string& method,
                                    const std::string& path, const std::string& object);

    // Publishes the next version of the configuration, with these accounts.
    void set_accounts(boost::json::array accounts);
    // The same, with these limits for callers.
    void set_caller_limits(boost::json::object limits);
    // Sends a request to a gateway over a new connection and waits for the response.
    answer send_request(std::size_t index, const soak::http_request& request);
    // What reached servers under this request ID.
    std::vector<soak::arrival> arrivals_of(const std::string& request_id);

    // Sends a request to a gateway and closes the connection without waiting for the response.
    void send_and_leave(std::size_t index, const std::string& method, const std::string& path);

    // Sends a request to the address at which this gateway takes requests of other gateways.
    answer send_to_relay_address(std::size_t index, const std::string& path);

    // Kills all gateways at the same moment, starts them again, if wished with this program, and waits until
    // they are ready.
    void restart_all_gateways(const std::optional<std::string>& program = std::nullopt);

    void set_store_fault(soak::store_fault fault);
    // The store comes back from a copy of this long ago.
    void restore_store(std::chrono::milliseconds age);
    void set_server_fault(soak::server_fault fault);
    void set_link_fault(soak::link_fault fault);
    // Servers end with whatever they execute, as if each crashed by chance just then.
    void set_all_requests_crash(bool all_crash) { m_all_requests_crash = all_crash; }
    // Kills one gateway, which does not start again.
    void kill_gateway(std::size_t index);
    // Asks a gateway to end, as for planned work.
    void begin_stop(std::size_t index);
    // Waits until it has ended, and returns its exit code.
    std::optional<int> wait_for_end(std::size_t index);
    // Both.
    std::optional<int> stop_gateway(std::size_t index);
    // Starts a gateway that has ended with this program, and waits until it is ready.
    void start_gateway(std::size_t index, const std::string& program);
    // The program that the gateway runs, or ran last. May be called on any thread.
    std::string program_of(std::size_t index);
    // Stops the process of a gateway as it is, and lets it go on.
    void pause_gateway(std::size_t index);
    void resume_gateway(std::size_t index);

    // Makes the servers name this limit in their answers from now on, or none.
    void name_request_limit(const std::vector<std::string>& servers,
                            std::optional<double> requests_per_second);
    // Makes a server turn requests away and ask for rest, or no longer.
    void ask_for_rest(const std::string& server, std::optional<std::chrono::milliseconds> rest);
    // Makes a server say in its answers that it is leaving.
    void say_leaving(const std::string& server);
    std::vector<std::string> server_ids();

    // Removes the registrations of all servers from the store, as when they are silent for too long.
    void deregister_servers();

    // Writes any value to the store, as another writer.
    void write_to_store(const std::string& key, const std::string& value);

    // Starts one more server, and returns its ID.
    std::string start_server();

    // Adds a route under `prefix` to the configuration, as its next version.
    void add_route(const std::string& prefix);
    // Whether the store answers the gateways of `behind_links`.
    void set_store_link(soak::store_link link);

    // Records the status of the answer to a request that make_request() has made. 0: there was none.
    void record_status(const soak::http_request& request, unsigned status);

    // Names of the events of this kind in the logs of the process that runs now.
    std::set<std::string> logged_events(std::size_t index, std::string_view level) const;
    // Whether the log of this gateway has a line with this text.
    bool has_logged(std::size_t index, std::string_view text) const;

    // Waits until no gateway knows another one, while the store takes no registrations.
    void wait_until_gateways_are_forgotten() const;

    // Files, sockets and pipes that the process of this gateway has open.
    std::size_t open_descriptors(std::size_t index) const;
    bool is_running(std::size_t index) const;

    // The most memory that the process of this gateway has used so far.
    std::size_t peak_memory_bytes(std::size_t index) const;

    std::size_t ended_servers();
    // How often servers began to execute the same request that is not idempotent, at most.
    std::size_t most_executions_of_bookings();
    // How many of these requests a server began to execute.
    std::size_t executed_of(const std::vector<std::string>& request_ids);
    // Requests that are not idempotent and were executed, though their callers were told that they were not.
    std::size_t executed_refused_bookings();
    // Rejections that servers have repeated, whole or in part.
    std::size_t repeated_refusals();
    // The most requests of one gateway that reached one server within a rest for which it had asked.
    std::size_t most_arrivals_within_rest();
    // What the servers received and the callers sent so far.
    soak::retry_limit_input traffic();
    // Number of keys in the store with this prefix.
    std::size_t store_keys(const std::string& prefix);

private:
    struct gateway {
        std::string name;
        std::string program; // changed under m_sent_mutex
        soak::gateway_ports ports;
        std::string settings;
        std::unique_ptr<test_support::child_process> process;
        int start_count = 0;
    };

    answer send_to(const std::string& address, std::size_t gateway_index, const std::string& method,
                   const std::string& path, const std::string& object);
    answer send_to(const std::string& address, const soak::http_request& request);
    soak::server_stand_in& server_of(const std::string& id); // on the event loop
    void run_on_loop(const std::function<void()>& action);
    void publish_configuration();
    void add_server(const std::string& domain);
    void replace_ended_server(const soak::server_stand_in& server, const std::string& domain);
    void start_gateways();
    void start_process(gateway& item) const;
    // Without the keys that another program does not know: those in CARAWAYWAY_OTHER_LACKS_KEYS, with commas.
    std::string settings_for(const gateway& item) const;
    void expect_is_ready(std::size_t index);

    boost::asio::io_context m_context;
    soak::run_record m_record;
    soak::store_stand_in m_store;
    test_support::temporary_folder m_folder;
    std::vector<std::string> m_added_prefixes; // of routes
    boost::json::array m_accounts;
    boost::json::object m_caller_limits;
    std::uint64_t m_configuration = 0; // version
    std::string m_crashing_prefix;
    std::atomic<bool> m_all_requests_crash = false;
    soak::server_stand_in::end_kind m_end_kind;
    std::vector<std::unique_ptr<soak::server_stand_in>> m_servers; // also those that ended
    std::unique_ptr<soak::linked_servers> m_links;
    std::size_t m_ended_servers = 0;
    std::mutex m_sent_mutex;
    std::vector<soak::clock::time_point> m_sent; // times of the requests of callers; under m_sent_mutex
    std::map<std::string, std::size_t> m_gateway_of_request; // by ID; under m_sent_mutex
    // Status of the answer to each request that is not idempotent, by ID; under m_sent_mutex.
    std::map<std::string, unsigned> m_bookings;
    std::vector<std::unique_ptr<gateway>> m_gateways;
    std::thread m_loop_thread;
};

} // namespace carawayway::gateway_processes
