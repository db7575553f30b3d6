// `ctl status`, `shifts` and `metrics`.
#include "carawayway/cli/ctl_client.hpp"

#include <fmt/format.h>
#include <gflags/gflags.h>

DECLARE_bool(json);

namespace carawayway::cli {

namespace {

using operators::status_reply;

std::string_view to_text(operators::policy_state state) {
    switch (state) {
    case operators::policy_state::in_force:
        return "in force";
    case operators::policy_state::behind:
        return "behind";
    case operators::policy_state::not_reachable:
        break;
    }
    return "not reachable";
}

void print_entries(const status_reply& status) {
    fmt::print("{:<16} {:<14} {:<14} {:<16} {:>9} {}\n", "ENTRY", "DOMAIN", "REGION", "STATE", "REVISION",
               "POLICY");
    for (const auto& entry : status.entries) {
        fmt::print("{:<16} {:<14} {:<14} {:<16} {:>9} {}\n", entry->name, entry->domain, entry->region,
                   entry->state, entry->revision, to_text(entry->policy));
    }
}

void print_services(const status_reply& status) {
    fmt::print("\n{:<16} {:>8} {:>8} {:>10} {:>8}\n", "SERVICE", "USABLE", "FREE", "IN FLIGHT", "QUEUED");
    for (const auto& service : status.services) {
        fmt::print("{:<16} {:>8} {:>8} {:>10} {:>8}\n", service->name, service->usable_slots,
                   service->free_slots, service->in_flight, service->queued);
    }
    fmt::print("\n{:<20} {:<10} {:>6} {:>8} {:>10} {:>11} {:>9}\n", "SERVER", "STATE", "SLOTS", "USABLE",
               "IN FLIGHT", "LATENCY MS", "SUCCESS");
    for (const auto& service : status.services) {
        for (const auto& server : service->servers) {
            fmt::print("{:<20} {:<10} {:>6} {:>8} {:>10} {:>11.1f} {:>9.2f}\n", server->name,
                       server->draining ? "draining" : server->state, server->slots, server->usable_slots,
                       server->in_flight, server->latency_ms, server->success_share);
        }
    }
}

void print_shifts(const status_reply& status) {
    fmt::print("{:<16} {:<14} {:>8} {:>8} {:>8} {:>15}\n", "SERVICE", "HOME REGION", "MOVED", "ALLOWED",
               "CAP", "WINDOW LEFT MS");
    for (const auto& shift : status.shifts) {
        fmt::print("{:<16} {:<14} {:>8.3f} {:>8.3f} {:>8.3f} {:>15}\n", shift->service,
                   shift->home_region.empty() ? "-" : shift->home_region, shift->moved_share,
                   shift->allowed_share, shift->cap, shift->window_left_ms);
    }
}

void print_status(const status_reply& status) {
    fmt::print("entry {} ({}, {})  state {}  {}\n", status.entry, status.domain, status.region, status.state,
               status.ready ? "ready" : "not ready: " + status.not_ready_reason);
    fmt::print("policy revision {}  change {}  \"{}\"\n\n", status.revision, status.change_id,
               status.comment);
    print_entries(status);
    print_services(status);
    if (!status.shifts.empty()) {
        fmt::print("\n");
        print_shifts(status);
    }
}

int fetch_and_print_status(const ctl_client& client, void (*print)(const status_reply&)) {
    ctl_failure failure;
    std::string raw;
    const auto status =
        client.call<status_reply>("Status", operators::status_request{}, call_effect::reads, failure, &raw);
    if (!status) {
        return report(failure);
    }
    if (FLAGS_json) {
        fmt::print("{}", raw);
    } else {
        print(*status);
    }
    return to_int(exit_code::done);
}

} // namespace

int ctl_status(const ctl_client& client, const std::vector<std::string>&) {
    return fetch_and_print_status(client, print_status);
}

int ctl_shifts(const ctl_client& client, const std::vector<std::string>&) {
    return fetch_and_print_status(client, print_shifts);
}

int ctl_metrics(const ctl_client& client, const std::vector<std::string>&) {
    ctl_failure failure;
    const auto text = client.page("/metrics", failure);
    if (!text) {
        return report(failure);
    }
    fmt::print("{}", *text);
    return to_int(exit_code::done);
}

} // namespace carawayway::cli
