// Copies the reports field by field and determines whether the policy of each entry instance is behind.
#include "carawayway/operators/report_messages.hpp"

#include "carawayway/operators/policy_change.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <memory>

namespace carawayway::operators {

namespace {

double to_milliseconds(base::duration value) {
    return std::chrono::duration<double, std::milli>(value).count();
}

std::int64_t newest_revision(const engine::status_report& report) {
    std::int64_t newest = report.revision;
    for (const auto& member : report.members) {
        newest = std::max(newest, member.revision);
    }
    return newest;
}

policy_state state_of(const engine::member_report& member, std::int64_t newest) {
    if (member.reach == engine::member_reach::not_reachable) {
        return policy_state::not_reachable;
    }
    return member.revision < newest || newest == 0 ? policy_state::behind : policy_state::in_force;
}

std::unique_ptr<schema::entry_statusT> to_entry(const engine::member_report& member, std::int64_t newest) {
    auto entry = std::make_unique<schema::entry_statusT>();
    entry->name = member.name;
    entry->domain = member.failure_domain;
    entry->region = member.region;
    entry->state = member.status;
    entry->revision = member.revision;
    entry->policy = state_of(member, newest);
    return entry;
}

std::unique_ptr<schema::server_statusT> to_server(const steering::server_status& status,
                                                  const engine::service_report& service) {
    const auto& draining = service.draining_servers;
    auto server = std::make_unique<schema::server_statusT>();
    server->name = status.name;
    server->state = steering::to_string(status.state);
    server->slots = status.slots;
    server->usable_slots = status.usable_slots;
    server->in_flight = status.in_flight;
    server->latency_ms = to_milliseconds(status.latency);
    server->success_share = status.success_share;
    server->draining = std::find(draining.begin(), draining.end(), status.name) != draining.end();
    return server;
}

std::unique_ptr<schema::service_statusT> to_service(const engine::service_report& report) {
    auto service = std::make_unique<schema::service_statusT>();
    service->name = report.name;
    service->usable_slots = report.usable_slots;
    service->free_slots = report.free_slots;
    service->in_flight = report.in_flight;
    service->queued = report.queued;
    for (const auto& status : report.servers) {
        service->servers.push_back(to_server(status, report));
    }
    return service;
}

std::unique_ptr<schema::shift_statusT> to_shift(const shifting::shift_status& status) {
    auto shift = std::make_unique<schema::shift_statusT>();
    shift->service = status.service;
    shift->home_region = status.home_region;
    shift->moved_share = status.moved_share;
    shift->allowed_share = status.allowed_share;
    shift->cap = status.cap;
    shift->window_left_ms = base::to_milliseconds(status.window_left);
    return shift;
}

server_use to_use(engine::server_use use) {
    switch (use) {
    case engine::server_use::usable:
        return server_use::usable;
    case engine::server_use::no_free_slot:
        return server_use::no_free_slot;
    case engine::server_use::not_owned:
        return server_use::not_owned;
    case engine::server_use::draining:
        return server_use::draining;
    case engine::server_use::region_not_allowed:
        return server_use::region_not_allowed;
    case engine::server_use::not_ready:
        break;
    }
    return server_use::not_ready;
}

} // namespace

status_reply to_message(const engine::status_report& report) {
    const auto summary = summarize({report.revision, report.policy_document});
    status_reply reply;
    reply.entry = report.entry;
    reply.domain = report.failure_domain;
    reply.region = report.region;
    reply.state = report.state;
    reply.ready = !report.not_ready_reason.has_value();
    reply.not_ready_reason = report.not_ready_reason.value_or("");
    reply.incarnation = fmt::format("{:016x}", report.incarnation);
    reply.revision = report.revision;
    reply.newest_revision = newest_revision(report);
    reply.change_id = summary.change_id;
    reply.comment = summary.comment;
    for (const auto& member : report.members) {
        reply.entries.push_back(to_entry(member, reply.newest_revision));
    }
    for (const auto& service : report.services) {
        reply.services.push_back(to_service(service));
    }
    for (const auto& shift : report.shifts) {
        reply.shifts.push_back(to_shift(shift));
    }
    return reply;
}

explain_reply to_message(const engine::explain_report& report) {
    explain_reply reply;
    reply.entry = report.entry;
    reply.revision = report.revision;
    reply.service = report.service;
    reply.client = report.client_address;
    reply.home_region = report.home_region;
    for (const auto& item : report.lookup) {
        auto entry = std::make_unique<schema::explained_entryT>();
        entry->name = item.name;
        entry->address = item.address;
        entry->domain = item.failure_domain;
        entry->region = item.region;
        reply.lookup.push_back(std::move(entry));
    }
    for (const auto& item : report.servers) {
        auto server = std::make_unique<schema::explained_serverT>();
        server->name = item.name;
        server->domain = item.failure_domain;
        server->use = to_use(item.use);
        server->reason = item.reason;
        server->usable_slots = item.usable_slots;
        server->in_flight = item.in_flight;
        reply.servers.push_back(std::move(server));
    }
    for (const auto& item : report.candidates) {
        auto candidate = std::make_unique<schema::explained_candidateT>();
        candidate->entry = item.summary.entry;
        candidate->domain = item.summary.failure_domain;
        candidate->region = item.summary.region;
        candidate->candidate = item.refusal.empty();
        candidate->reason = item.refusal;
        candidate->free_slots = item.summary.free_slots;
        candidate->queued = item.summary.queued;
        candidate->summary_age_ms = base::to_milliseconds(item.summary.age);
        candidate->leaves_home_region = item.crossing == shifting::region_crossing::leaves_home_region;
        reply.candidates.push_back(std::move(candidate));
    }
    if (report.shift) {
        reply.shift = to_shift(*report.shift);
    }
    return reply;
}

} // namespace carawayway::operators
