// Event log of the backend servers of one process, and the number of executions of each request ID.
#pragma once

#include <cstdint>
#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace stand_ins {

enum class backend_event_kind : std::uint8_t { start, finish, cancel, refuse, crash };

std::string_view to_string(backend_event_kind kind);

// One line of the log. A crash ends all executions on its server without separate events for them.
struct backend_event {
    std::int64_t monotonic_nanoseconds = 0; // CLOCK_MONOTONIC, comparable between processes on one machine
    backend_event_kind kind = backend_event_kind::start;
    std::string server;
    std::string service;
    std::string request_id;
    std::string body_hash;       // 16 hex digits
    std::uint32_t in_flight = 0; // after the event; for a crash, the number of executions that it ended
    std::uint32_t execution = 0; // number of executions of this request ID in this process so far
    std::string reason;

    bool operator==(const backend_event&) const = default;
};

std::string to_json(const backend_event& event);

class execution_log {
public:
    using listener = std::function<void(const backend_event&)>;

    // `history` is the path of the log, "-" for standard output, or empty for none. Throws std::runtime_error
    // when the file cannot be opened.
    execution_log(const std::string& history, listener on_event);

    // Sets the time of the event, writes the event and calls the listener.
    void record(backend_event event);

    // Increments and returns the number of executions of this ID. Returns 0 for an empty ID.
    std::uint32_t count_execution(const std::string& request_id);

    const std::unordered_map<std::string, std::uint32_t>& executions() const { return m_executions; }

private:
    struct file_closer {
        void operator()(std::FILE* file) const;
    };

    std::unique_ptr<std::FILE, file_closer> m_history; // null when no log is written
    listener m_on_event;
    std::unordered_map<std::string, std::uint32_t> m_executions;
};

} // namespace stand_ins
