// Explains decisions to operators. It uses the same functions as the data path and changes no state.
#include "carawayway/client_blocks/client_address.hpp"
#include "carawayway/engine/entry_engine.hpp"

#include <algorithm>
#include <array>
#include <random>

namespace carawayway::engine {

namespace {

using config::administrative_state;

struct server_context {
    const compiled_policy& policy;
    const config::service_policy& service;
    const local_service& local;
};

// Returns whether a server that this entry instance may own can be used now, and the reason if not.
std::pair<server_use, std::string> server_use_of(const server_context& context,
                                                 const config::server_policy& server,
                                                 const steering::server_status* status) {
    const auto* domain = context.policy.content().find_failure_domain(server.failure_domain);
    if (!context.policy.may_serve(context.service,
                                  context.policy.content().region_of(server.failure_domain))) {
        return {server_use::region_not_allowed, "its region may not serve this service"};
    }
    if (server.state == administrative_state::draining) {
        return {server_use::draining, "drained by the policy"};
    }
    if (domain != nullptr && domain->state == administrative_state::draining) {
        return {server_use::draining, "its failure domain is drained by the policy"};
    }
    if (context.local.is_draining(server.name)) {
        return {server_use::draining, "leaving, according to the instance list or its own responses"};
    }
    if (status == nullptr || status->state == steering::server_state::gone) {
        return {server_use::not_owned, "not owned by this entry instance"};
    }
    if (status->usable_slots == 0) {
        return {server_use::not_ready, "it is " + std::string(steering::to_string(status->state))};
    }
    if (status->in_flight >= status->usable_slots) {
        return {server_use::no_free_slot, "all its slots are in use"};
    }
    return {server_use::usable, ""};
}

std::vector<explained_server> explain_servers(const server_context& context, const std::string& own_domain,
                                              base::time_point now) {
    const auto statuses = context.local.pool.status(now);
    std::vector<explained_server> result;
    for (const auto& server : context.policy.content().servers) {
        const auto status = std::find_if(statuses.begin(), statuses.end(),
                                         [&server](const auto& item) { return item.name == server.name; });
        const bool known = status != statuses.end();
        if (server.service != context.service.name || (!known && server.failure_domain != own_domain)) {
            continue;
        }
        auto [use, reason] = server_use_of(context, server, known ? &*status : nullptr);
        result.push_back({server.name, server.failure_domain, use, std::move(reason),
                          known ? status->usable_slots : 0, known ? status->in_flight : 0});
    }
    return result;
}

std::string rejection_reason(const shifting::spill_over_request& query,
                             const shifting::entry_summary& summary,
                             const shifting::selector_limits& limits) {
    std::mt19937_64 random; // does not matter for a single summary
    const std::array<shifting::entry_summary, 1> single{summary};
    if (!shifting::spill_over_order(query, single, limits, random).empty()) {
        return {};
    }
    if (summary.state != administrative_state::active) {
        return "it is draining";
    }
    if (summary.free_slots <= summary.queued + summary.sent_since_summary) {
        return "it has no free slots";
    }
    if (summary.link_in_flight >= summary.link_limit) {
        return "the peer link is at its limit";
    }
    const auto& allowed = query.allowed_regions;
    if (!allowed.empty() && std::find(allowed.begin(), allowed.end(), summary.region) == allowed.end()) {
        return "its region may not serve this service";
    }
    return "it cannot respond within the default timeout";
}

} // namespace

explain_report entry_engine::explain(const std::string& service, const std::string& client_address,
                                     base::time_point now) const {
    explain_report report;
    report.entry = m_identity.name;
    report.revision = m_policy_replica.revision();
    report.service = service;
    report.client_address = client_address;
    const auto* policy = m_requests.policy();
    if (policy == nullptr) {
        report.error = base::error_kind::not_ready;
        report.detail = *not_ready_reason();
        return report;
    }
    if (!client_blocks::client_address::parse(client_address)) {
        report.error = base::error_kind::request_invalid;
        report.detail = "client must be an IP address";
        return report;
    }
    const auto* known = policy->find_service(service);
    const auto local = m_requests.local_services().find(service);
    if (known == nullptr || local == m_requests.local_services().end()) {
        report.error = base::error_kind::service_unknown;
        report.detail = service;
        return report;
    }
    report.home_region = policy->home_region(client_address);
    report.lookup = lookup_entries(service, report.home_region, client_address, now);
    report.servers = explain_servers({*policy, *known, *local->second}, m_identity.failure_domain, now);
    const std::string home = report.home_region.empty() ? m_identity.region : report.home_region;
    const shifting::spill_over_request query{m_identity.failure_domain, m_identity.region, home,
                                             known->regions, known->default_timeout};
    shifting::selector_limits limits;
    limits.typical_latency = local->second->typical_latency();
    for (auto& summary : m_requests.peers().summaries(service, now)) {
        const auto crossing = summary.region == home ? shifting::region_crossing::serves_home_region
                                                     : shifting::region_crossing::leaves_home_region;
        auto refusal = rejection_reason(query, summary, limits);
        report.candidates.push_back({std::move(summary), crossing, std::move(refusal)});
    }
    for (auto& shift : m_requests.shift_status(now)) {
        if (shift.service == service && shift.home_region == report.home_region) {
            report.shift = std::move(shift);
        }
    }
    return report;
}

} // namespace carawayway::engine
