// The configuration that operators set for a deployment: services, routes by host and path, and caller
// limits.
#pragma once

#include "carawayway/base/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace carawayway::routing {

enum class request_semantics : std::uint8_t {
    idempotent,     // may run more than once
    non_idempotent, // runs at most once for each attempt of the caller
};

struct service {
    std::string name;
    std::string health_path;
    std::uint32_t maximum_connections = 0; // that a server accepts from all callers together
    base::duration cold_start{};           // time for which a server is cold after its start
    double cold_requests_per_second = 0.0; // that a cold server tolerates from all callers together

    bool operator==(const service&) const = default;
};

struct weighted_service {
    std::string service;
    double weight = 0.0;

    bool operator==(const weighted_service&) const = default;
};

struct route {
    std::string name;
    std::string prefix; // of the path; begins and ends with a slash
    request_semantics semantics = request_semantics::non_idempotent;
    std::vector<weighted_service> targets;    // at least one
    std::vector<std::string> allowed_regions; // that may serve the route; empty: all
    base::duration timeout{};                 // longest time that a caller waits for an answer
    base::duration target_latency{};          // an answer after this time loses most of its value
    std::uint32_t priority = 0;               // 0 is the highest
    std::uint32_t maximum_attempts = 1;       // number of servers to which a request may be sent
    bool keeps_affinity = false;              // a server that handled the object recently answers faster
    bool is_public = false;                   // callers need no API key

    bool operator==(const route&) const = default;
};

struct host_routes {
    std::string host;
    std::vector<route> routes;

    bool operator==(const host_routes&) const = default;
};

// What an account may ask of all gateways together: a rate, and how far it may save unused requests.
struct request_quota {
    double requests_per_second = 0.0; // 0: no limit
    double burst = 0.0;               // requests

    bool is_limited() const { return requests_per_second > 0.0; }

    bool operator==(const request_quota&) const = default;
};

// A customer whose callers are known by their API keys.
struct client_account {
    std::string name;
    std::vector<std::string> api_keys; // secret: never logged or sent on
    std::uint32_t priority = 0;        // 0 is the highest; goes before that of the route
    request_quota quota;
    std::vector<std::string> allowed_regions; // that may serve the account; empty: all

    bool operator==(const client_account&) const = default;
};

// Limits on the requests and connections of callers.
struct caller_limits {
    std::uint32_t header_bytes = 16U << 10U;
    std::uint64_t body_bytes = 64U << 20U;
    base::duration header_timeout = std::chrono::seconds{3};
    base::duration idle_timeout = std::chrono::seconds{15};

    bool operator==(const caller_limits&) const = default;
};

struct configuration {
    std::uint64_t version = 0; // increases with each change
    std::vector<service> services;
    std::vector<host_routes> hosts;
    caller_limits limits;
    // Names of request semantics that the platform adapter does not know, without duplicates. Routes with
    // these are non-idempotent.
    std::vector<std::string> unknown_semantics{};
    // Without accounts, callers need no API key.
    std::vector<client_account> accounts{};

    bool operator==(const configuration&) const = default;
};

} // namespace carawayway::routing
