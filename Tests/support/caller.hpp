// Callers of a test deployment: they look up, send, resend and record what they were told.
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

// Identifies an answer of the backend stand-in by all that it carries.
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
    std::string kind; // of a refusal
    std::string body;
};

class caller {
public:
    caller(deployment& target, std::string source_address);

    // A fresh request ID from a look-up; empty when the entry gives none.
    std::string fresh_id(const std::string& entry, const std::string& service);
    outcome send(const std::string& entry, const request& content);

private:
    deployment& m_deployment;
    std::string m_source;
    std::uint64_t m_last_number = 0;
};

// One request together with what became of it at one entry.
struct sent_request {
    std::string entry;
    request content;
    outcome result;
};

// Callers in threads, half of them in each region, which prefer the entries of their own region and resend
// every third request through any entry. Ends when stop() is called.
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
    // Waits until `more` further requests have been executed through the entry.
    bool wait_executed(const std::string& entry, std::size_t more) const;

private:
    void run(std::uint64_t seed, const std::string& region);
    void send_and_record(caller& self, const std::string& entry, const request& content);

    deployment& m_deployment;
    std::atomic<bool> m_stopped{false};
    mutable std::mutex m_mutex;
    std::vector<sent_request> m_sent;
    std::map<std::pair<std::string, base::execution_state>, std::size_t> m_counts;
    std::vector<std::thread> m_threads;
};

} // namespace carawayway::test_support
