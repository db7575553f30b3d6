// Callers of a test deployment. They look up request IDs, send and resend requests, and record every request
// and answer in the history of the deployment.
#pragma once

#include "Tests/support/deployment.hpp"
#include "carawayway/cli/http_call.hpp"

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace carawayway::test_support {

// Hash over all fields of an answer of a backend stand-in.
body_hash answer_hash(const std::string& server, const std::string& id, const std::string& content_hash,
                      std::uint32_t execution);

struct request {
    std::string service;
    std::string id;
    std::string body;
    config::request_semantics semantics = config::request_semantics::non_idempotent;
};

struct outcome {
    base::execution_state execution = base::execution_state::unknown;
    cli::call_failure failure = cli::call_failure::none;
    std::string kind; // error kind when the request was refused, otherwise empty
    std::string body;
};

class caller {
public:
    caller(deployment& target, std::string source_address);

    // Builds a new request ID from the prefix that a lookup at the entry returns. Empty when the lookup
    // fails.
    std::string fresh_id(const std::string& entry, const std::string& service);
    outcome send(const std::string& entry, const request& content);

private:
    deployment& m_deployment;
    std::string m_source;
    std::uint64_t m_last_number = 0;
};

// A request that was sent through one entry, and its outcome.
struct sent_request {
    std::string entry;
    request content;
    outcome result;
};

// Generates load with one thread per caller until stop() is called. The callers are split evenly between the
// regions of the first and the last entry. Each sends its requests to entries of its own region and resends
// about one third of them through an entry of any region.
class caller_load {
public:
    caller_load(deployment& target, unsigned callers, std::uint64_t seed);
    caller_load(const caller_load&) = delete;
    caller_load& operator=(const caller_load&) = delete;
    caller_load(caller_load&&) = delete;
    caller_load& operator=(caller_load&&) = delete;
    ~caller_load() { stop(); }

    void stop();
    std::vector<sent_request> sent() const;
    std::size_t count(const std::string& entry, base::execution_state execution) const;
    // Waits until `more` additional requests have been executed through the entry. False after a timeout.
    bool wait_for_executions(const std::string& entry, std::size_t more) const;

private:
    void run(std::uint64_t seed, const std::string& region);
    void send_and_record(caller& client, const std::string& entry, const request& content);

    deployment& m_deployment;
    std::atomic<bool> m_stopped{false};
    mutable std::mutex m_mutex;
    std::vector<sent_request> m_sent;
    std::map<std::pair<std::string, base::execution_state>, std::size_t> m_counts;
    std::vector<std::thread> m_threads;
};

} // namespace carawayway::test_support
