// Runs the checks and logs what they find.
#include "carawayway/gateway/contact_monitor.hpp"

#include "carawayway/base/log.hpp"
#include "carawayway/gateway/connect_timeout.hpp"
#include "carawayway/net/endpoint.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace carawayway::gateway {

void contact_monitor::record_failure(const placement::server_state& server, base::time_point now) {
    m_contact.record_failure(server.registration.id, now);
    start_due_check(now);
}

void contact_monitor::record_connection(base::time_point now) {
    if (m_contact.record_connection()) {
        log_return(now);
    }
}

void contact_monitor::start_due_check(base::time_point now) {
    if (m_contact.is_check_due(now)) {
        m_contact.begin_check();
        boost::asio::co_spawn(m_executor, check(), boost::asio::detached);
    }
}

boost::asio::awaitable<void> contact_monitor::check() {
    const auto targets = next_targets({});
    const bool reached = co_await any_accepts_connection(m_executor, targets);
    const auto now = base::monotonic_now();
    if (reached) {
        if (m_contact.record_passed_check()) {
            log_return(now);
        }
    } else if (m_contact.record_failed_check(now)) {
        base::log(base::log_level::warning, "servers-unreachable",
                  {{"checked_servers", targets.size()},
                   {"failing_for_ms", base::to_milliseconds(now - m_contact.failing_since())}});
        m_on_loss(m_contact.failing_since());
    }
}

boost::asio::awaitable<bool> contact_monitor::reaches_server_other_than(std::string id) {
    const auto targets = next_targets(id);
    const bool reached = targets.empty() || co_await any_accepts_connection(m_executor, targets);
    co_return reached;
}

std::vector<connection_target> contact_monitor::next_targets(const std::string& except) {
    auto servers = m_servers.by_reachability();
    std::erase_if(servers, [&except](const auto& server) { return server->registration.id == except; });
    std::vector<connection_target> targets;
    const auto count = std::min(servers.size(), servers_per_check);
    for (std::size_t index = 0; index < count; ++index) {
        const auto& server = *servers[(m_skipped_servers + index) % servers.size()];
        if (const auto address = net::parse_endpoint(server.registration.address)) {
            const bool is_own_region = server.region == m_servers.own_locality().region;
            const auto round_trip = m_round_trips.expected(server.registration.failure_domain, is_own_region);
            targets.push_back({*address, connect_timeout(round_trip)});
        }
    }
    m_skipped_servers = is_lost() ? m_skipped_servers + count : 0;
    return targets;
}

void contact_monitor::log_return(base::time_point now) const {
    base::log(base::log_level::warning, "servers-reachable",
              {{"failed_for_ms", base::to_milliseconds(now - m_contact.failing_since())}});
}

} // namespace carawayway::gateway
