// Writes the events of a request and the values that decided them.
#include "carawayway/gateway/request_log.hpp"

#include "carawayway/base/log.hpp"

namespace carawayway::gateway {

void request_log::write_lost_attempt(const placement::server_state& server, std::uint32_t attempts,
                                     base::duration after, base::time_point now) {
    m_log.write(base::log_level::info, "attempt-lost",
                {{"request_id", m_metadata.request_id},
                 {"content", to_text(m_content.fingerprints().content)},
                 {"variant", to_text(m_content.fingerprints().variant)},
                 {"content_with_query", to_text(m_content.fingerprints().content_with_query)},
                 {"content_with_object", to_text(m_content.fingerprints().content_with_object)},
                 {"server", server.registration.id},
                 {"attempts", attempts},
                 {"after_ms", base::to_milliseconds(after)}},
                now);
}

void request_log::write_cleared_content(const placement::server_state& server, unsigned status,
                                        base::time_point now) {
    m_log.write(base::log_level::info, "content-cleared",
                {{"request_id", m_metadata.request_id},
                 {"content", to_text(m_content.fingerprints().content)},
                 {"variant", to_text(m_content.fingerprints().variant)},
                 {"server", server.registration.id},
                 {"status", status}},
                now);
}

void request_log::write_given_up(const given_up_request& request, base::time_point now) {
    m_log.write(base::log_level::info, "request-given-up",
                {{"request_id", m_metadata.request_id},
                 {"kind", request.kind},
                 {"route", request.route == nullptr ? std::string{} : request.route->name},
                 {"configuration", request.configuration},
                 {"attempts", request.attempts},
                 {"server", request.tried_servers.empty() ? std::string{} : request.tried_servers.back()},
                 {"after_ms", base::to_milliseconds(request.after)},
                 {"retry_after_ms", base::to_milliseconds(request.retry_after)}},
                now);
}

void request_log::write_too_late(const routing::route& route, const placement::placement_result& placed,
                                 base::duration time_left, base::time_point now) {
    if (placed.expected_latency - placed.estimate.wait < time_left) {
        return;
    }
    m_log.write(base::log_level::info, "request-too-late",
                {{"request_id", m_metadata.request_id},
                 {"route", route.name},
                 {"time_left_ms", base::to_milliseconds(time_left)},
                 {"expected_ms", base::to_milliseconds(placed.expected_latency)},
                 {"wait_ms", base::to_milliseconds(placed.estimate.wait)},
                 {"run_ms", base::to_milliseconds(placed.estimate.run_time)},
                 {"basis", to_text(placed.estimate.basis)}},
                now);
}

void request_log::write_repeated(unsigned status, std::uint32_t attempts,
                                 std::span<const std::string> tried_servers, base::duration after,
                                 base::time_point now) {
    m_log.write(base::log_level::info, "request-repeated",
                {{"request_id", m_metadata.request_id},
                 {"status", status},
                 {"attempts", attempts},
                 {"first_server", tried_servers.front()},
                 {"server", tried_servers.back()},
                 {"after_ms", base::to_milliseconds(after)}},
                now);
}

void request_log::write_served(const routing::route& route, const std::string& service,
                               const placement::server_state& server,
                               placement::object_cache_state cache_state, const exchange_result& result,
                               base::duration expected_latency) const {
    if (!base::is_logged(base::log_level::debug)) {
        return;
    }
    const auto& load = result.metadata.load;
    base::log(base::log_level::debug, "request-served",
              {{"request_id", m_metadata.request_id},
               {"route", route.name},
               {"service", service},
               {"object", m_metadata.object},
               {"server", server.registration.id},
               {"domain", server.registration.failure_domain},
               {"held", cache_state == placement::object_cache_state::cached},
               {"run_ms", base::to_milliseconds(result.run_time)},
               {"load", load ? load->running + load->waiting : 0},
               {"expected_ms", base::to_milliseconds(expected_latency)}});
}

} // namespace carawayway::gateway
