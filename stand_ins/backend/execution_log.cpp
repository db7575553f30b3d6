// Writes events as JSON lines.
#include "stand_ins/backend/execution_log.hpp"

#include "carawayway/base/time.hpp"

#include <boost/json.hpp>

#include <array>
#include <stdexcept>
#include <utility>

namespace stand_ins {

std::string_view to_string(backend_event_kind kind) {
    constexpr std::array<std::string_view, 5> names{"start", "finish", "cancel", "refuse", "crash"};
    return names.at(static_cast<std::size_t>(kind));
}

std::string to_json(const backend_event& event) {
    boost::json::object object{{"time_ns", event.monotonic_nanoseconds},
                               {"event", to_string(event.kind)},
                               {"server", event.server},
                               {"service", event.service},
                               {"request_id", event.request_id},
                               {"body_hash", event.body_hash},
                               {"in_flight", event.in_flight},
                               {"execution", event.execution}};
    if (!event.reason.empty()) {
        object["reason"] = event.reason;
    }
    return boost::json::serialize(object);
}

void execution_log::file_closer::operator()(std::FILE* file) const {
    if (file != stdout) {
        std::fclose(file);
    }
}

execution_log::execution_log(const std::string& history, listener on_event)
    : m_on_event(std::move(on_event)) {
    if (history.empty()) {
        return;
    }
    m_history.reset(history == "-" ? stdout : std::fopen(history.c_str(), "ae"));
    if (!m_history) {
        throw std::runtime_error("cannot open history file " + history);
    }
}

void execution_log::record(backend_event event) {
    event.monotonic_nanoseconds = carawayway::base::monotonic_now().time_since_epoch().count();
    if (m_history) {
        // Flushed after each line, so that the file contains only complete lines even if the process is
        // killed.
        const std::string line = to_json(event) + "\n";
        std::fwrite(line.data(), 1, line.size(), m_history.get());
        std::fflush(m_history.get());
    }
    if (m_on_event) {
        m_on_event(event);
    }
}

std::uint32_t execution_log::count_execution(const std::string& request_id) {
    return request_id.empty() ? 0 : ++m_executions[request_id];
}

} // namespace stand_ins
