// What backend servers and gateways register in the store about themselves.
#pragma once

#include "carawayway/base/time.hpp"
#include "carawayway/fleet/agreement_level.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace carawayway::fleet {

enum class server_intent : std::uint8_t { serving, leaving };

// Registration of a backend server.
struct server_registration {
    std::string id;
    std::string service;
    std::string address; // IP:port
    std::string failure_domain;
    std::string software_version;
    std::uint32_t slots = 1; // maximum number of requests that it runs at once
    server_intent intent = server_intent::serving;
    base::duration cold_left{};  // remaining cold time when the registration was written
    std::int64_t started_at = 0; // Unix milliseconds; a later start under the same ID is a new incarnation

    bool operator==(const server_registration&) const = default;
};

// What the machine of a gateway has. Gateways of older versions do not tell.
struct machine_capacity {
    double link_megabits = 0.0;   // per second in each direction; 0: unknown
    double processor_share = 0.0; // of one core; 0: unknown

    bool operator==(const machine_capacity&) const = default;
};

// The program that a gateway runs. Gateways of older versions do not tell.
struct gateway_build {
    std::string name;                         // empty: unknown
    std::uint32_t level = no_agreement_level; // of its agreements without messages

    bool operator==(const gateway_build&) const = default;
};

// Registration of a gateway.
struct gateway_registration {
    std::string name;
    std::string failure_domain;
    std::string region;
    std::string caller_address;  // IP:port
    std::string peer_address;    // IP:port
    std::string notice_address;  // IP:port for datagrams; empty if it takes none
    std::string relay_address{}; // IP:port for requests of other gateways; empty if it takes none
    std::string relay_key{};     // that such a request must present
    machine_capacity machine{};
    gateway_build build{};
    std::string quota_address{}; // IP:port for datagrams on quotas of accounts; empty if it takes none

    bool operator==(const gateway_registration&) const = default;
};

// Names one permit of a server.
struct permit_key {
    std::string server;
    std::uint32_t number = 0;

    bool operator==(const permit_key&) const = default;
};

// One of several equal parts of the rate of requests that a server takes from all gateways together. At most
// one gateway holds it.
struct request_permit {
    std::string server;
    std::int64_t server_started_at = 0; // the incarnation that named the limit
    std::string region;                 // of the server
    std::uint32_t number = 0;           // among the permits of the server
    std::string holder;                 // name of the gateway
    std::string session;                // tells permits under different leases of the holder apart
    double requests_per_second = 0.0;   // of all permits together, as the server named it to the holder
    bool has_ended = false;             // the server no longer names a limit; nobody holds the permit

    bool operator==(const request_permit&) const = default;
};

// A permit to be written if its key is still at this revision.
struct permit_claim {
    request_permit permit;
    std::int64_t expected_revision = 0; // 0: the key does not exist

    bool operator==(const permit_claim&) const = default;
};

// The permits that a gateway holds of a server whose limit has ended.
struct permit_release {
    std::string server;
    std::vector<permit_claim> held; // in the order of their numbers

    bool operator==(const permit_release&) const = default;
};

} // namespace carawayway::fleet
