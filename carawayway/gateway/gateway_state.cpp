// Shared state of the requests of one gateway.
#include "carawayway/gateway/gateway_state.hpp"

namespace carawayway::gateway {

namespace {

// Objects whose servers are remembered; about 100 bytes each.
constexpr std::size_t remembered_objects = 8192;

constexpr std::size_t metric_series_limit = 256;

// Parts of the deployment's budget that are used: the windows of the bound and of the gateways are not
// aligned, and a gateway that has just started does not know all others yet.
constexpr double used_retry_share = 0.8;
constexpr double used_retry_slack = 0.7;
// Stands in for the number of gateways until the store told it.
constexpr std::size_t smallest_gateway_count = 4;

} // namespace

relay_state::relay_state(boost::asio::any_io_executor on, const placement::locality& own,
                         platform_bounds limits)
    : executor(std::move(on)), bounds(limits), servers(own, limits.cold), affinity(remembered_objects),
      shifts(own.region, limits.region_shift_share), spill(own.region),
      choice(servers, times, affinity, trips, shifts, spill), metrics(metric_series_limit) {
    metrics.declare("carawayway_gateway_requests_total", metrics::metric_type::counter,
                    "Requests of callers by service, priority and status.");
    metrics.declare("carawayway_gateway_request_duration_seconds", metrics::metric_type::histogram,
                    "Time from the arrival of a request to its answer, by service and priority.");
    metrics.declare("carawayway_gateway_attempts_total", metrics::metric_type::counter,
                    "Requests sent to backend servers, by service and how they ended.");
    metrics.declare("carawayway_gateway_refusals_total", metrics::metric_type::counter,
                    "Requests that were given up, by service and kind.");
}

void relay_state::set_configuration(std::shared_ptr<const routing::configuration> configuration) {
    std::map<std::string, placement::cold_start_profile> traits;
    for (const auto& service : configuration->services) {
        traits[service.name] = {service.cold_requests_per_second, service.cold_start};
    }
    servers.set_cold_start_profiles(std::move(traits));
    m_routes = std::make_shared<const routing::route_table>(std::move(configuration));
}

base::duration relay_state::waited_before(const std::string& route, base::duration time_left) {
    auto& longest = m_longest_waits[route];
    longest = std::max(longest, time_left);
    return longest - time_left;
}

steering::retry_budget& relay_state::retry_budget_of(const std::string& service, base::time_point now) {
    const auto found = m_budgets.find(service);
    if (found != m_budgets.end()) {
        return found->second;
    }
    const auto gateways = static_cast<double>(std::max(smallest_gateway_count, servers.gateways().count()));
    const steering::retry_limits limits{bounds.retry_share * used_retry_share, 0.0,
                                        std::max(1.0, bounds.retry_slack * used_retry_slack / gateways)};
    return m_budgets.emplace(service, steering::retry_budget(limits, now)).first->second;
}

} // namespace carawayway::gateway
