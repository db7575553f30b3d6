// Callers of all gateways of a fleet at once: over new connections, over kept ones and with pipelined
// requests.
#pragma once

#include "Tests/gateway_processes/gateway_fleet.hpp"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <tuple>
#include <vector>

namespace carawayway::gateway_processes {

enum class connection_kind : std::uint8_t { fresh, kept, pipelined };

// A request that a server began to execute and that got no answer, or that was cut off on a new connection.
struct cut_request {
    std::string program; // of its gateway
    connection_kind connection = connection_kind::fresh;

    bool operator==(const cut_request&) const = default;
    bool operator<(const cut_request& other) const {
        return std::tie(program, connection) < std::tie(other.program, other.connection);
    }
};

struct caller_findings {
    std::map<unsigned, std::size_t> answers; // how many by status
    std::map<cut_request, std::size_t> cut;  // how many

    bool operator==(const caller_findings&) const = default;
};

// Sends requests until end(). A gateway that takes no connections is tried again.
class caller_mix {
public:
    explicit caller_mix(gateway_fleet& fleet);
    caller_mix(const caller_mix&) = delete;
    caller_mix(caller_mix&&) = delete;
    caller_mix& operator=(const caller_mix&) = delete;
    caller_mix& operator=(caller_mix&&) = delete;
    ~caller_mix();

    caller_findings end();

private:
    void send_on_new_connections(std::size_t gateway);
    void send_on_kept_connections(std::size_t gateway);
    void send_pipelined(std::size_t gateway);
    void record_answer(unsigned status);
    // `requests` got no answer.
    void record_unanswered(const std::vector<std::string>& requests, const cut_request& kind);
    void record_cut(std::size_t requests, const cut_request& kind);

    gateway_fleet& m_fleet;
    std::atomic<bool> m_ended = false;
    std::mutex m_mutex;
    caller_findings m_findings; // under m_mutex
    std::vector<std::thread> m_senders;
};

} // namespace carawayway::gateway_processes
