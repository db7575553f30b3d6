// `ctl explain`: where an entry instance would send a request of a client, and why.
#include "carawayway/cli/ctl_client.hpp"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <cstdio>

DECLARE_bool(json);
DECLARE_string(service);
DEFINE_string(client, "", "IP address of the client");

namespace carawayway::cli {

namespace {

using operators::explain_reply;

void print_lookup(const explain_reply& reply) {
    fmt::print("\nlookup order\n{:<4} {:<16} {:<22} {:<14} {}\n", "", "ENTRY", "ADDRESS", "DOMAIN", "REGION");
    std::size_t position = 0;
    for (const auto& entry : reply.lookup) {
        fmt::print("{:<4} {:<16} {:<22} {:<14} {}\n", ++position, entry->name, entry->address, entry->domain,
                   entry->region);
    }
}

void print_servers(const explain_reply& reply) {
    fmt::print("\nservers of {}\n{:<20} {:<14} {:>8} {:>10} {}\n", reply.entry, "SERVER", "DOMAIN", "USABLE",
               "IN FLIGHT", "USE");
    for (const auto& server : reply.servers) {
        fmt::print("{:<20} {:<14} {:>8} {:>10} {}{}{}\n", server->name, server->domain, server->usable_slots,
                   server->in_flight, operators::schema::EnumNameserver_use(server->use),
                   server->reason.empty() ? "" : ": ", server->reason);
    }
}

void print_candidates(const explain_reply& reply) {
    fmt::print("\nother entry instances\n{:<16} {:<14} {:<14} {:>6} {:>7} {:>8} {:<6} {}\n", "ENTRY",
               "DOMAIN", "REGION", "FREE", "QUEUED", "AGE MS", "MOVES", "USE");
    for (const auto& item : reply.candidates) {
        fmt::print("{:<16} {:<14} {:<14} {:>6} {:>7} {:>8} {:<6} {}\n", item->entry, item->domain,
                   item->region, item->free_slots, item->queued, item->summary_age_ms,
                   item->leaves_home_region ? "yes" : "no", item->candidate ? "candidate" : item->reason);
    }
}

void print_explanation(const explain_reply& reply) {
    fmt::print("{} for {} at {}, policy revision {}\nhome region {}\n", reply.service, reply.client,
               reply.entry, reply.revision,
               reply.home_region.empty() ? "none: no client block contains the address" : reply.home_region);
    print_lookup(reply);
    print_servers(reply);
    print_candidates(reply);
    if (reply.home_region.empty()) {
        fmt::print("\nshift allowance: without a home region the cap does not apply\n");
    } else if (reply.shift) {
        fmt::print(
            "\nshift allowance: {:.3f} of the traffic has moved, {:.3f} may move, cap {:.3f} per window\n",
            reply.shift->moved_share, reply.shift->allowed_share, reply.shift->cap);
    } else {
        fmt::print("\nshift allowance: no traffic counted yet\n");
    }
}

} // namespace

int ctl_explain(const ctl_client& client, const std::vector<std::string>&) {
    if (FLAGS_service.empty() || FLAGS_client.empty()) {
        fmt::print(stderr, "carawayway ctl: --service NAME and --client IP are required\n");
        return to_int(exit_code::bad_input);
    }
    operators::explain_request request;
    request.service = FLAGS_service;
    request.client = FLAGS_client;
    ctl_failure failure;
    std::string raw;
    const auto reply = client.call<explain_reply>("Explain", request, call_effect::reads, failure, &raw);
    if (!reply) {
        return report(failure);
    }
    if (FLAGS_json) {
        fmt::print("{}", raw);
    } else {
        print_explanation(*reply);
    }
    return to_int(exit_code::done);
}

} // namespace carawayway::cli
