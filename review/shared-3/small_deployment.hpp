// A small deployment for the cases of the third review: the store, servers and links to the store in this
// process, and the settings of gateways, which run.sh starts.
#pragma once

#include "Tests/soak/http_server.hpp"
#include "Tests/soak/store_stand_in.hpp"
#include "stand_ins/link/link_relay.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace carawayway::review {

using clock = std::chrono::steady_clock;

// A request that a server has begun to work on.
struct server_run {
    clock::time_point at;
    std::string server;
    std::string service;
    std::string request_id;
    std::string target;
    std::string body;
};

struct gateway_address {
    std::string name;
    std::string ip;
    unsigned short callers = 0;
    unsigned short readiness = 0;
};

// Writes lines with the time since its start.
class record_file {
public:
    explicit record_file(const std::string& path) : m_file(path) {}
    void write(const std::string& line);

private:
    std::ofstream m_file;
    clock::time_point m_start = clock::now();
};

class small_deployment {
public:
    // Settings files go into `folder`.
    explicit small_deployment(std::string folder);
    small_deployment(const small_deployment&) = delete;
    small_deployment(small_deployment&&) = delete;
    small_deployment& operator=(const small_deployment&) = delete;
    small_deployment& operator=(small_deployment&&) = delete;
    ~small_deployment();

    // `zones` has the region of each zone.
    void set_zones(std::map<std::string, std::string> zones) { m_zones = std::move(zones); }
    void add_server(const std::string& id, const std::string& service, const std::string& zone);
    // A server that writes the parts of each answer as they are, with a pause between two. The parts hold
    // "{id}" in place of the request's id.
    void add_raw_server(const std::string& id, const std::string& service, const std::string& zone,
                        std::vector<std::string> parts);
    // Writes the next configuration: "/look/" is safe, and goes to the first service; "/book/" is unsafe, and
    // goes to `booking_service`. Returns when the store has accepted it.
    void configure(const std::vector<std::string>& services, const std::string& booking_service);
    // Writes the settings of a gateway that reaches the store through a link of its own.
    gateway_address add_gateway(const std::string& name, const std::string& zone);
    // While a link is cut, open connections carry nothing, and new ones get no answer.
    void cut_store_link(const std::string& gateway, bool is_cut);
    // When the gateway last renewed a lease at the store.
    clock::time_point last_renewal(const std::string& gateway);
    // A server writes its entry anew, with another software version.
    void update_server(std::size_t index);
    // Tells run.sh that all settings files are there.
    void finish_settings() const;

    std::vector<server_run> runs();

private:
    struct server;
    struct raw_server;

    void register_server(const std::string& id, const std::string& service, const std::string& zone,
                         const std::string& address, unsigned software_version);
    void on_loop(const std::function<void()>& action);
    unsigned short reserve_port();

    std::string m_folder;
    std::map<std::string, std::string> m_zones;
    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::unique_ptr<soak::store_stand_in> m_store;
    std::vector<std::unique_ptr<server>> m_servers;
    std::vector<std::unique_ptr<raw_server>> m_raw_servers;
    std::map<std::string, std::unique_ptr<soak::http_server>> m_views;     // of the store, by gateway
    std::map<std::string, std::unique_ptr<stand_ins::link_relay>> m_links; // the same
    std::map<std::string, clock::time_point> m_renewals;                   // the same
    std::vector<int> m_reserved; // sockets that keep port numbers free
    unsigned m_version = 4;
    std::mutex m_mutex;
    std::vector<server_run> m_runs;
    std::thread m_thread;
};

// Returns whether the gateway says within the time that it is ready.
bool wait_until_ready(const gateway_address& gateway, std::chrono::milliseconds longest);

// Sends bytes on a new connection, and returns what comes back until `enough` is true for it, the connection
// ends, or the time is over.
std::string exchange(const gateway_address& gateway, unsigned short port, const std::string& bytes,
                     std::chrono::milliseconds longest,
                     const std::function<bool(const std::string&)>& enough);

// Whether one whole answer with a length is there.
bool has_whole_answer(const std::string& bytes);
// The status of the first answer; 0 without one.
int status_of(const std::string& bytes);

} // namespace carawayway::review
