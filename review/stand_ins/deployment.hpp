// A small deployment: the store, servers, gateways and the operator's configuration.
#pragma once

#include "review/stand_ins/caller.hpp"
#include "review/stand_ins/gateway.hpp"
#include "review/stand_ins/record.hpp"
#include "review/stand_ins/server.hpp"
#include "review/stand_ins/store.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace review {

// Of a small deployment, as the page DEPLOY gives them.
constexpr std::size_t machine_memory_bytes = 260U << 20U;
constexpr double link_bytes_per_second = 1000.0e6 / 8.0;

struct deployment_options {
    std::string record_file;
    std::string folder; // for settings and logs
    std::size_t gateways = 2;
    std::vector<server_options> servers;
};

class deployment {
public:
    explicit deployment(const deployment_options& options);
    deployment(const deployment&) = delete;
    deployment(deployment&&) = delete;
    deployment& operator=(const deployment&) = delete;
    deployment& operator=(deployment&&) = delete;
    ~deployment();

    // Writes the configuration with this version and this many routes that nobody uses. Returns its size in
    // bytes.
    std::size_t write_configuration(unsigned version, std::size_t unused_routes = 0);

    // Starts the gateways and waits until all are ready. Returns false if one is not ready in time.
    boost::asio::awaitable<bool> start_gateways();

    // From now on the platform kills processes that exceed the memory of their machine, and starts processes
    // that have ended again after a short delay, until stop_watching().
    void watch_processes();
    void stop_watching() { m_is_watching = false; }

    // Runs the whole case on one thread.
    void run(boost::asio::awaitable<void> whole_case);

    boost::asio::io_context& context() { return m_context; }
    record& log() { return m_log; }
    store& platform_store() { return m_store; }
    request_ends& ends() { return m_ends; }
    execution_log& executions() { return m_executions; }
    server& server_at(std::size_t index) { return *m_servers.at(index); }
    std::size_t server_count() const { return m_servers.size(); }
    gateway_process& gateway_at(std::size_t index) { return *m_gateways.at(index); }
    std::size_t gateway_count() const { return m_gateways.size(); }
    // How often the process of each gateway ended by itself.
    const std::vector<unsigned>& own_ends() const { return m_own_ends; }
    // Writes into the record how much memory was used, and how often processes ended by themselves.
    void write_summary();
    // Writes into the record each request: when it was sent and to whom, how it ended, and which servers ran
    // it.
    void write_requests();

    std::unique_ptr<caller> new_caller(std::size_t gateway);

private:
    boost::asio::awaitable<void> watch_process(std::size_t index);

    record m_log;
    boost::asio::io_context m_context{1};
    store m_store;
    execution_log m_executions;
    request_ends m_ends;
    std::vector<std::unique_ptr<server>> m_servers;
    std::vector<std::unique_ptr<gateway_process>> m_gateways;
    std::vector<unsigned> m_own_ends;
    std::size_t m_peak_bytes = 0;
    bool m_is_watching = false;
};

} // namespace review
