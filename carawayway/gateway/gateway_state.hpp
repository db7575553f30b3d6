// State shared by all requests of one gateway: known servers, estimates, limits and connections.
#pragma once

#include "carawayway/accounts/account_directory.hpp"
#include "carawayway/accounts/quota_ledger.hpp"
#include "carawayway/gateway/backend_pool.hpp"
#include "carawayway/gateway/contact_monitor.hpp"
#include "carawayway/gateway/content_guard.hpp"
#include "carawayway/gateway/message_memory.hpp"
#include "carawayway/gateway/pause_detector.hpp"
#include "carawayway/gateway/rate_limited_log.hpp"
#include "carawayway/gateway/service_retries.hpp"
#include "carawayway/gateway/stop_schedule.hpp"
#include "carawayway/gateway/wire_types.hpp"
#include "carawayway/metrics/metric_registry.hpp"
#include "carawayway/placement/relay_peers.hpp"
#include "carawayway/placement/server_selector.hpp"
#include "carawayway/routing/route_table.hpp"
#include "carawayway/routing/traffic_splitter.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace carawayway::gateway {

// Whether an answer is whole, of the server itself and no failure.
enum class answer_verdict : std::uint8_t { good, failed };

// Used only by the gateway's single thread.
class gateway_state {
public:
    // Runs when a server has named a rate limit, or no longer does.
    using limit_change_handler = std::function<void()>;

    // `share`, `publish` and `claim` are those of the content guard. `message_bytes` is the memory for all
    // messages.
    gateway_state(boost::asio::any_io_executor executor, const placement::locality& own,
                  platform_bounds bounds, std::size_t message_bytes, content_guard::share_function share,
                  content_guard::publish_function publish, content_guard::claim_function claim,
                  limit_change_handler on_limit_change);

    gateway_state(const gateway_state&) = delete;
    gateway_state(gateway_state&&) = delete;
    gateway_state& operator=(const gateway_state&) = delete;
    gateway_state& operator=(gateway_state&&) = delete;
    ~gateway_state() = default;

    // Server responses are buffered completely, so that only complete ones are forwarded.
    static constexpr std::uint64_t maximum_response_bytes = 32U << 20U;

    // Of a quota that is kept for gateways that the store does not list any more, at most: all of them have
    // rarely been cut off, and the others serve their callers.
    static constexpr double largest_unlisted_part = 0.35;
    // The same for a gateway that has started without registrations: the others may use all of it.
    static constexpr double unlisted_part_without_owners = 0.9;

    // Null until the first configuration is applied.
    const std::shared_ptr<const routing::route_table>& routes() const { return m_routes; }
    void set_configuration(std::shared_ptr<const routing::configuration> configuration);
    // Those of the same configuration.
    const std::shared_ptr<const accounts::account_directory>& accounts() const { return m_accounts; }

    // Tells the ledger which gateways share quotas, if that may have changed.
    void update_quota_gateways(base::time_point now);
    // The gateway that shares quotas at this address, also one that the store does not list any more.
    std::optional<std::string> quota_reporter_at(const std::string& address) const;
    // Where a gateway shares quotas, also one that the store does not list any more.
    std::optional<std::string> quota_address_of(const std::string& gateway) const;
    // Counts a request of the account, or decides that it may not run.
    accounts::quota_decision admit(const std::string& account, base::time_point now);
    // Runs when reports on quotas may be due.
    void set_quota_handler(std::function<void()> on_quota_use) { m_on_quota_use = std::move(on_quota_use); }

    // Estimates the time that the caller has already spent on earlier attempts: the difference between the
    // longest time budget seen on the route and `time_left`.
    base::duration time_spent_in_earlier_attempts(const std::string& route, base::duration time_left);

    // Records what the answer to a request that was sent at `sent_at` says of the server's rate limit. A
    // failure or a refusal may lack a limit that is still in force.
    void record_rate_limit(const placement::server_state& server, const response_metadata& answer,
                           answer_verdict verdict, base::time_point sent_at, base::time_point now);

    // Records a request that a server did not answer, or to which no connection could be opened.
    void record_no_answer(placement::server_state& server, base::time_point now);

    // Records whether the answer says that the server is leaving or asks for rest.
    void record_notices(placement::server_state& server, const response_metadata& answer,
                        base::time_point now);

    // How often log_retries() is called.
    static constexpr base::duration retry_log_interval = std::chrono::seconds{5};

    // The retries of this gateway; all gateways together keep the limit of the deployment.
    service_retries& retries_of(const std::string& service, base::time_point now);
    void log_retries(base::time_point now);

    // Tells in logs and metrics which services reject requests in favour of others now.
    void report_overloads(base::time_point now);

    const boost::asio::any_io_executor executor;
    const platform_bounds bounds;
    placement::server_table servers;
    accounts::quota_ledger quotas;
    placement::run_time_estimator run_times;
    placement::affinity_cache affinity;
    placement::round_trip_estimator round_trips;
    placement::region_shift_limiter region_shifts;
    placement::region_spillover region_spillover;
    placement::server_selector selector;
    routing::traffic_splitter splitter;
    backend_pool connections;
    backend_pool peer_connections; // to the relay addresses of other gateways, by name
    placement::relay_peers peers;
    contact_monitor contact; // to the backend servers
    message_memory messages;
    metrics::metric_registry metrics;
    content_guard guard;
    rate_limited_log log;
    pause_detector pauses;             // of this process
    std::optional<stop_schedule> stop; // while the process is being stopped
    bool checks_silent_server = false; // whether a server that let a deadline pass is being checked

private:
    void leave_servers(base::time_point failing_since);

    limit_change_handler m_on_limit_change;
    std::shared_ptr<const routing::route_table> m_routes;
    std::shared_ptr<const accounts::account_directory> m_accounts; // null as long as m_routes
    std::uint64_t m_known_gateway_changes = 0;                     // of the gateways that the ledger knows
    base::time_point m_next_quota_update{}; // also without a change, as departed gateways are forgotten
    std::map<std::string, std::string> m_quota_reporters; // names by address
    std::map<std::string, std::string> m_quota_addresses; // by name
    bool m_has_quota_owners = false;                      // the ledger knows some
    std::function<void()> m_on_quota_use;                 // null while this gateway shares no quotas
    std::map<std::string, service_retries> m_retries;     // by service
    std::set<std::string> m_overloaded_services;          // as logged
    std::unordered_map<std::string, base::duration> m_longest_time_budgets; // by route
};

} // namespace carawayway::gateway
