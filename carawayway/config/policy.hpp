// The policy that operators write: which regions and backend servers serve each service, how much traffic may
// shift between regions at once, and what is being drained.
#pragma once

#include "carawayway/base/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carawayway::config {

enum class request_semantics : std::uint8_t { idempotent, non_idempotent };

// Whether a server, a failure domain or an entry instance receives new requests.
enum class administrative_state : std::uint8_t { active, draining };

struct region_policy {
    std::string name;
    std::optional<std::uint32_t> capacity; // requests in flight on its servers; absent: sum of their slots

    bool operator==(const region_policy&) const = default;
};

struct failure_domain_policy {
    std::string name;
    std::string region;
    administrative_state state = administrative_state::active;

    bool operator==(const failure_domain_policy&) const = default;
};

// Limits how much traffic of a service may newly shift to other regions within one window.
struct shift_cap {
    double share = 0.1; // fraction (0 to 1) of the service's traffic from one home region
    base::duration window = std::chrono::seconds(10);
    std::optional<double> requests_per_second; // absolute cap for the whole system; absent: only `share`

    bool operator==(const shift_cap&) const = default;
};

struct service_policy {
    std::string name;
    std::string customer; // the company that the service belongs to; used in metrics
    request_semantics semantics = request_semantics::idempotent;
    base::duration default_timeout = std::chrono::milliseconds(1000);
    base::duration maximum_timeout = std::chrono::milliseconds(2000);
    std::uint32_t queue_limit = 256;                  // queued requests at one entry instance
    double retry_share = 0.1;                         // retry budget as a fraction of first attempts
    base::duration warm_up = std::chrono::seconds(5); // slow start of a server that is new or has come back
    shift_cap cap;
    std::vector<std::string> regions; // regions that may serve the service; empty: all

    bool operator==(const service_policy&) const = default;
};

struct server_policy {
    std::string name;
    std::string service;
    std::string failure_domain;
    std::string address;             // IP:port
    std::uint32_t slots = 1;         // requests that the server runs at once
    std::uint32_t connections = 300; // accepted from all entry instances together
    administrative_state state = administrative_state::active;

    bool operator==(const server_policy&) const = default;
};

struct client_block_policy {
    std::string prefix; // IPv4 or IPv6 prefix, for example 192.0.2.0/24
    std::string region; // home region of the callers in the prefix

    bool operator==(const client_block_policy&) const = default;
};

// Before `validate` accepts a policy, names may be invalid or duplicate and references may be unknown.
struct policy {
    std::string change_id; // chosen by the writer; shows whether a write whose reply was lost took effect
    std::string comment;
    base::duration lookup_lifetime =
        std::chrono::seconds(10);                            // callers may cache look-up responses this long
    base::duration id_acceptance = std::chrono::seconds(60); // new request IDs are accepted this long
    std::uint32_t peer_requests_in_flight = 64;              // per peer link
    std::uint32_t peer_bytes_in_flight = 4U << 20U;          // per peer link
    std::vector<region_policy> regions;
    std::vector<failure_domain_policy> failure_domains;
    std::vector<service_policy> services;
    std::vector<server_policy> servers;
    std::vector<client_block_policy> client_blocks;
    std::vector<std::string> draining_entries;

    bool operator==(const policy&) const = default;

    const region_policy* find_region(std::string_view name) const;
    const failure_domain_policy* find_failure_domain(std::string_view name) const;
    const service_policy* find_service(std::string_view name) const;
    const server_policy* find_server(std::string_view name) const;

    // The region of a failure domain; empty if the failure domain is unknown.
    std::string_view region_of(std::string_view failure_domain) const;

    // The longest timeout of any service. Requests of a lost entry instance may still run for this long.
    base::duration longest_timeout() const;
};

// A policy with its revision in the store.
struct revisioned_policy {
    std::int64_t revision = 0; // 0 if there is no policy yet
    std::string document;      // the INI text as written by the operator
    policy content;

    bool operator==(const revisioned_policy&) const = default;
};

} // namespace carawayway::config
