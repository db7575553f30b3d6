// Everything that the requests of one gateway share: beliefs, estimates, limits and connections.
#pragma once

#include "carawayway/gateway/backend_pool.hpp"
#include "carawayway/gateway/rate_limited_log.hpp"
#include "carawayway/gateway/wire_types.hpp"
#include "carawayway/metrics/metric_registry.hpp"
#include "carawayway/placement/server_selector.hpp"
#include "carawayway/routing/route_table.hpp"
#include "carawayway/routing/traffic_splitter.hpp"
#include "carawayway/steering/retry_budget.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace carawayway::gateway {

// Owned by the one thread of a gateway.
class relay_state {
public:
    relay_state(boost::asio::any_io_executor executor, const placement::locality& own,
                platform_bounds bounds);

    relay_state(const relay_state&) = delete;
    relay_state(relay_state&&) = delete;
    relay_state& operator=(const relay_state&) = delete;
    relay_state& operator=(relay_state&&) = delete;
    ~relay_state() = default;

    // Largest answer of a server; answers are held whole, so that only complete ones are passed on.
    static constexpr std::uint64_t largest_answer = 32U << 20U;

    // Null until the first configuration is known.
    const std::shared_ptr<const routing::route_table>& routes() const { return m_routes; }
    void set_configuration(std::shared_ptr<const routing::configuration> configuration);

    // Time that the caller has waited before, over its earlier attempts: what is missing to the longest time
    // that callers of the route allow.
    base::duration waited_before(const std::string& route, base::duration time_left);

    // The gateway's part of the budget of repeats that all gateways share.
    steering::retry_budget& retry_budget_of(const std::string& service, base::time_point now);

    const boost::asio::any_io_executor executor;
    const platform_bounds bounds;
    placement::server_table servers;
    placement::run_time_estimator times;
    placement::affinity_cache affinity;
    placement::round_trip_estimator trips;
    placement::region_shift_limiter shifts;
    placement::region_spillover spill;
    placement::server_selector choice;
    routing::traffic_splitter splits;
    backend_pool connections;
    metrics::metric_registry metrics;
    call_log log;

private:
    std::shared_ptr<const routing::route_table> m_routes;
    std::map<std::string, steering::retry_budget> m_budgets;         // by service
    std::unordered_map<std::string, base::duration> m_longest_waits; // by route
};

} // namespace carawayway::gateway
