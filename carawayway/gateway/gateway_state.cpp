// State shared by all requests of one gateway.
#include "carawayway/gateway/gateway_state.hpp"

#include "carawayway/placement/gateway_selection.hpp"

#include <algorithm>
#include <random>

namespace carawayway::gateway {

namespace {

// Objects whose servers are remembered for affinity; about 100 bytes each.
constexpr std::size_t maximum_remembered_objects = 8192;

constexpr std::size_t metric_series_limit = 256;

// Part of the requests for a service whose rejection is logged.
constexpr double logged_rejected_part = 0.1;

// Between two looks at which gateways share quotas, without a change.
constexpr base::duration longest_quota_update_interval = std::chrono::seconds{10};

std::uint64_t random_session() {
    std::random_device random;
    return std::uniform_int_distribution<std::uint64_t>{}(random);
}

} // namespace

gateway_state::gateway_state(boost::asio::any_io_executor io_executor, const placement::locality& own,
                             platform_bounds limits, std::size_t message_bytes,
                             content_guard::share_function share, content_guard::publish_function publish,
                             content_guard::claim_function claim, limit_change_handler on_limit_change)
    : executor(std::move(io_executor)), bounds(limits), servers(own, limits.cold),
      quotas(own.gateway, random_session(), limits.quota_tolerance), affinity(maximum_remembered_objects),
      region_shifts(own.region, limits.region_shift_share), region_spillover(own.region),
      selector(servers, run_times, affinity, round_trips, region_shifts, region_spillover),
      peers(servers.gateways(), own),
      contact(executor, servers, round_trips,
              [this](base::time_point failing_since) { leave_servers(failing_since); }),
      messages(message_bytes), metrics(metric_series_limit),
      guard(metrics, std::move(share), std::move(publish), std::move(claim)),
      m_on_limit_change(std::move(on_limit_change)) {
    metrics.declare("carawayway_gateway_requests_total", metrics::metric_type::counter,
                    "Requests of callers by service, priority and status.");
    metrics.declare("carawayway_gateway_request_duration_seconds", metrics::metric_type::histogram,
                    "Time from the arrival of a request to its answer, by service and priority.");
    metrics.declare("carawayway_gateway_attempts_total", metrics::metric_type::counter,
                    "Requests sent to backend servers, by service and how they ended.");
    metrics.declare("carawayway_gateway_refusals_total", metrics::metric_type::counter,
                    "Requests that were given up, by service and kind.");
    metrics.declare("carawayway_gateway_run_time_trials_total", metrics::metric_type::counter,
                    "Requests sent to test a run time that is expected to be too long, by service.");
    metrics.declare("carawayway_gateway_store_restores_total", metrics::metric_type::counter,
                    "Times that the store came back from an older copy, as this gateway saw.");
    metrics.declare("carawayway_gateway_contact_losses_total", metrics::metric_type::counter,
                    "Times that this gateway found itself partitioned from the backend servers.");
    metrics.declare("carawayway_gateway_relays_total", metrics::metric_type::counter,
                    "Requests sent through another gateway, by how it ended.");
    metrics.declare("carawayway_gateway_pauses_total", metrics::metric_type::counter,
                    "Times that the process stood still.");
    metrics.declare("carawayway_gateway_builds", metrics::metric_type::gauge,
                    "Known gateways by the build that they run");
    metrics.declare("carawayway_gateway_relayed_requests_total", metrics::metric_type::counter,
                    "Requests of other gateways, by whether they were taken.");
    metrics.declare("carawayway_gateway_message_bytes", metrics::metric_type::gauge,
                    "Memory of requests and responses: held now, the most so far, and the limit.");
    metrics.declare("carawayway_gateway_account_requests_total", metrics::metric_type::counter,
                    "Requests by client account, and whether its quota has admitted them.");
    metrics.declare("carawayway_gateway_connections_ended_total", metrics::metric_type::counter,
                    "Connections of callers that were ended to make room or as too slow, by cause.");
    metrics.declare("carawayway_gateway_handler_failures_total", metrics::metric_type::counter,
                    "Exceptions that left the handler of an event.");
    metrics.declare(
        "carawayway_gateway_rejected_part", metrics::metric_type::gauge,
        "Part of the requests for a service that is rejected in favour of others in an overload.");
    service_retries::declare_metrics(metrics);
}

void gateway_state::set_configuration(std::shared_ptr<const routing::configuration> configuration) {
    std::map<std::string, placement::cold_start_profile> profiles;
    for (const auto& service : configuration->services) {
        profiles[service.name] = {service.cold_requests_per_second, service.cold_start};
    }
    servers.set_cold_start_profiles(std::move(profiles));
    m_accounts = std::make_shared<const accounts::account_directory>(configuration);
    for (const auto& name : m_accounts->accounts_with_shared_keys()) {
        base::log(base::log_level::error, "api-key-of-two-accounts",
                  {{"account", name}, {"version", configuration->version}, {"treated_as", "unknown"}});
    }
    quotas.set_accounts(configuration->accounts);
    m_routes = std::make_shared<const routing::route_table>(std::move(configuration));
    m_next_quota_update = {}; // the accounts may be the first ones
    update_quota_gateways(base::monotonic_now());
}

void gateway_state::update_quota_gateways(base::time_point now) {
    const auto& gateways = servers.gateways();
    const bool is_due = gateways.changes() != m_known_gateway_changes || now >= m_next_quota_update;
    if (!m_accounts || m_accounts->empty() || !is_due) {
        return;
    }
    m_known_gateway_changes = gateways.changes();
    m_next_quota_update = now + longest_quota_update_interval;
    const auto& own = servers.own_locality().gateway;
    accounts::fleet_view view;
    for (const auto& [name, registration] : gateways.all()) {
        // The others have another owner in place of a gateway that the store does not list.
        if (!registration.quota_address.empty() && (name != own || gateways.is_registered())) {
            view.owners.insert(name);
        }
    }
    // Without registrations, as after an outage of the store, all gateways keep the owners that they knew:
    // otherwise each would be the only owner it knows, and grant itself the whole quota.
    if (view.owners.empty() && m_has_quota_owners) {
        return;
    }
    m_has_quota_owners = !view.owners.empty();
    m_quota_reporters.clear();
    m_quota_addresses.clear();
    std::size_t unlisted = 0;
    for (const auto& other : gateways.others_that_may_run(now)) {
        m_quota_reporters.try_emplace(other.quota_address, other.name); // listed gateways come first
        m_quota_addresses.try_emplace(other.name, other.quota_address);
        view.reporters.insert(other.name);
        unlisted += gateways.all().contains(other.name) ? 0U : 1U;
    }
    view.used_by_callers = placement::count_chosen_gateways(gateways);
    const auto unlisted_part = static_cast<double>(unlisted) / static_cast<double>(view.reporters.size() + 1);
    const bool may_share =
        m_has_quota_owners || !m_on_quota_use || gateways.first_registered_at().has_value();
    view.unlisted_part =
        may_share ? std::min(unlisted_part, largest_unlisted_part) : unlisted_part_without_owners;
    quotas.set_gateways(std::move(view));
}

std::optional<std::string> gateway_state::quota_reporter_at(const std::string& address) const {
    const auto found = m_quota_reporters.find(address);
    return found == m_quota_reporters.end() ? std::nullopt : std::optional(found->second);
}

std::optional<std::string> gateway_state::quota_address_of(const std::string& gateway) const {
    const auto found = m_quota_addresses.find(gateway);
    return found == m_quota_addresses.end() ? std::nullopt : std::optional(found->second);
}

accounts::quota_decision gateway_state::admit(const std::string& account, base::time_point now) {
    const auto decision = quotas.try_admit(account, now);
    metrics.add("carawayway_gateway_account_requests_total",
                {{"account", account}, {"end", decision.is_admitted ? "admitted" : "quota-exceeded"}});
    if (m_on_quota_use && quotas.is_in_use()) {
        m_on_quota_use();
    }
    return decision;
}

base::duration gateway_state::time_spent_in_earlier_attempts(const std::string& route,
                                                             base::duration time_left) {
    auto& longest = m_longest_time_budgets[route];
    longest = std::max(longest, time_left);
    return longest - time_left;
}

void gateway_state::record_rate_limit(const placement::server_state& server, const response_metadata& answer,
                                      answer_verdict verdict, base::time_point sent_at,
                                      base::time_point now) {
    if (answer.other_server) {
        return; // says nothing of the server to which the request was sent
    }
    const auto& id = server.registration.id;
    if (answer.request_rate_limit) {
        if (servers.rate_limits().record_named(server, *answer.request_rate_limit, now)) {
            base::log(base::log_level::info, "server-limit-named",
                      {{"server", id}, {"requests_per_second", *answer.request_rate_limit}});
            m_on_limit_change();
        }
        return;
    }
    if (answer.names_rate_limit) {
        log.write(base::log_level::warning, "server-limit-unreadable", {{"server", id}}, now);
        return;
    }
    if (verdict == answer_verdict::good && !servers.rate_limits().empty() &&
        servers.rate_limits().record_unnamed(id, sent_at)) {
        base::log(base::log_level::info, "server-limit-ended", {{"server", id}});
        m_on_limit_change();
    }
}

void gateway_state::record_notices(placement::server_state& server, const response_metadata& answer,
                                   base::time_point now) {
    if (answer.other_server) {
        return; // says nothing of the server to which the request was sent
    }
    const auto& id = server.registration.id;
    if (answer.is_leaving && servers.record_leaving(server)) {
        log.write(base::log_level::info, "server-leaving-named", {{"server", id}}, now);
    }
    if (answer.rest) {
        servers.record_rest(server, *answer.rest, now);
        log.write(base::log_level::info, "server-rests",
                  {{"server", id}, {"rest_ms", base::to_milliseconds(*answer.rest)}}, now);
    } else if (answer.asks_for_rest) {
        log.write(base::log_level::warning, "server-rest-unreadable", {{"server", id}}, now);
    }
}

// Open connections may be as dead as those that failed, and the servers are not to blame.
void gateway_state::leave_servers(base::time_point failing_since) {
    metrics.add("carawayway_gateway_contact_losses_total", {});
    connections.clear();
    servers.restore_suspects(failing_since);
}

void gateway_state::record_no_answer(placement::server_state& server, base::time_point now) {
    if (contact.is_lost()) {
        return; // says nothing of the server
    }
    const bool was_usable = servers.is_usable(server);
    servers.record_no_answer(server, now);
    if (was_usable && !servers.is_usable(server)) {
        const auto& service = server.registration.service;
        log.write(base::log_level::info, "server-suspect",
                  {{"server", server.registration.id},
                   {"service", service},
                   {"usable_servers", servers.candidates(service).size()}},
                  now);
    }
}

service_retries& gateway_state::retries_of(const std::string& service, base::time_point now) {
    const auto found = m_retries.find(service);
    if (found != m_retries.end()) {
        return found->second;
    }
    // The slack of the deployment covers the retry that each gateway may save with little traffic.
    const steering::shared_retry_limits limits{bounds.retry_share, bounds.retry_window,
                                               std::min(1.0, bounds.retry_slack)};
    const steering::proportional_retry_budget budget(limits, now);
    return m_retries.try_emplace(service, service, budget, metrics).first->second;
}

void gateway_state::report_overloads(base::time_point now) {
    if (!m_routes) {
        return;
    }
    metrics.clear("carawayway_gateway_rejected_part");
    std::set<std::string> overloaded;
    for (const auto& service : m_routes->source().services) {
        if (!m_routes->has_several_priorities(service.name)) {
            continue;
        }
        const double part = selector.rejected_part(service.name, now);
        metrics.set("carawayway_gateway_rejected_part", {{"service", service.name}}, part);
        const bool was_overloaded = m_overloaded_services.erase(service.name) > 0;
        if (part >= logged_rejected_part || (was_overloaded && part > 0.0)) {
            overloaded.insert(service.name);
            if (!was_overloaded) {
                base::log(base::log_level::warning, "overload-started",
                          {{"service", service.name}, {"rejected_part", part}});
            }
        } else if (was_overloaded) {
            base::log(base::log_level::info, "overload-ended", {{"service", service.name}});
        }
    }
    for (const auto& service : m_overloaded_services) { // that the configuration does not have any more
        base::log(base::log_level::info, "overload-ended", {{"service", service}});
    }
    m_overloaded_services = std::move(overloaded);
}

void gateway_state::log_retries(base::time_point now) {
    for (auto& [service, retries] : m_retries) {
        retries.log_counts(servers.gateways().count(), now);
    }
}

} // namespace carawayway::gateway
