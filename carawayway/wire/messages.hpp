// The messages between entry instances as plain values. Their encoding is known only to the codec.
#pragma once

#include "carawayway/base/error_kind.hpp"
#include "carawayway/config/instance_settings.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace carawayway::wire {

inline constexpr std::size_t nonce_size = 32; // bytes
inline constexpr std::size_t mac_size = 32;   // bytes, HMAC-SHA256

using nonce = std::array<std::byte, nonce_size>;
using message_mac = std::array<std::byte, mac_size>;

// Whether an entry instance accepts new requests. While it starts, it accepts requests but claims no servers
// yet.
enum class running_state : std::uint8_t { running, stopping, starting };

enum class claim_state : std::uint8_t {
    owned,       // may dispatch
    releasing,   // no new dispatch; waits for the requests in flight
    proposed,    // asks for ownership; waits for the answers of its peers
    unconfirmed, // owned before the process paused; no dispatch until confirmed
};

// The source of the information that a backend server is draining.
enum class drain_evidence : std::uint8_t { policy, instance_list, server_answer };

struct envelope {
    std::string sender;
    std::uint64_t incarnation = 0;
    std::int64_t policy_revision = 0;
    std::uint64_t sequence = 0; // per link and direction, from 1 without gaps

    bool operator==(const envelope&) const = default;
};

struct hello {
    std::string name;
    std::string failure_domain;
    std::string region;
    std::uint64_t incarnation = 0;
    wire::nonce nonce{};
    config::socket_address caller_address;
    config::socket_address peer_address;

    bool operator==(const hello&) const = default;
};

struct hello_proof {
    message_mac mac{};

    bool operator==(const hello_proof&) const = default;
};

struct server_claim {
    std::string server;
    std::uint64_t epoch = 0;
    claim_state state = claim_state::owned;

    bool operator==(const server_claim&) const = default;
};

// A claim of any entry instance, as known by the sender of the message.
struct entry_claim {
    std::string entry;
    std::uint64_t incarnation = 0;
    server_claim claim;

    bool operator==(const entry_claim&) const = default;
};

struct relayed_counter {
    std::string entry;
    std::uint64_t incarnation = 0;
    std::uint64_t counter = 0;

    bool operator==(const relayed_counter&) const = default;
};

struct heartbeat {
    std::uint64_t counter = 0; // increases with each heartbeat of an incarnation
    running_state running = running_state::running;
    std::uint64_t claims_version = 0; // increases with each change of the claims of an incarnation
    // Absent when this version was already sent on this link.
    std::optional<std::vector<server_claim>> claims;
    std::vector<relayed_counter> relayed;

    bool operator==(const heartbeat&) const = default;
};

// Asks for the receiver's claims and announces the sender's. The receiver answers with a `claims_report`.
struct claims_request {
    std::uint64_t token = 0;
    std::uint64_t claims_version = 0;
    std::vector<server_claim> claims;

    bool operator==(const claims_request&) const = default;
};

struct claims_report {
    std::uint64_t token = 0; // copied from the claims_request
    std::uint64_t claims_version = 0;
    std::vector<server_claim> claims; // of the sender
    std::vector<entry_claim> known;   // claims of other entry instances to the servers in the request

    bool operator==(const claims_report&) const = default;
};

struct member_record {
    std::string name;
    std::string failure_domain;
    std::string region;
    std::uint64_t incarnation = 0; // 0: not yet known
    config::socket_address caller_address;
    config::socket_address peer_address;

    bool operator==(const member_record&) const = default;
};

// Sent when a link is established and when a member joins, so that entry instances without a direct link
// learn of each other.
struct member_list {
    std::vector<member_record> members;

    bool operator==(const member_list&) const = default;
};

struct home_rate {
    std::string region;
    double requests_per_second = 0;

    bool operator==(const home_rate&) const = default;
};

struct service_summary {
    std::string service;
    std::uint32_t free_slots = 0;
    std::uint32_t usable_slots = 0;
    std::uint32_t in_flight = 0;
    std::uint32_t queued = 0;
    std::uint32_t typical_latency_us = 0;
    std::vector<home_rate> home_rates;

    bool operator==(const service_summary&) const = default;
};

struct entry_summary {
    std::vector<service_summary> services;
    std::vector<std::string> draining_servers;

    bool operator==(const entry_summary&) const = default;
};

struct policy_request {
    bool operator==(const policy_request&) const = default;
};

struct policy_document {
    std::int64_t revision = 0;
    std::string text;

    bool operator==(const policy_document&) const = default;
};

struct header {
    std::string name;
    std::string value;

    bool operator==(const header&) const = default;
};

struct request {
    std::string service;
    std::string request_id; // empty: none
    std::string home_region;
    std::string customer;
    std::uint32_t timeout_ms = 0; // remaining
    std::string method;
    std::string target;
    std::vector<header> headers;
    std::string body;
    std::uint64_t fingerprint = 0;

    bool operator==(const wire::request&) const = default;
};

// Sent to the entry instance that owns the request ID.
struct forward_request {
    std::uint64_t call = 0; // chosen by the sender, unique per link
    wire::request request;

    bool operator==(const forward_request&) const = default;
};

// The receiver dispatches to its own servers or refuses. Sent at most once per request.
struct execute_request {
    std::uint64_t call = 0;
    wire::request request;

    bool operator==(const execute_request&) const = default;
};

struct outcome {
    std::optional<base::error_kind> error; // absent: the response came from a backend server
    base::execution_state execution = base::execution_state::unknown;
    std::uint16_t status = 0;
    std::vector<header> headers;
    std::string body;
    std::uint32_t retry_after_ms = 0;
    std::string server; // empty: not dispatched
    std::string detail;

    bool operator==(const outcome&) const = default;
};

struct request_result {
    std::uint64_t call = 0;
    wire::outcome outcome;

    bool operator==(const request_result&) const = default;
};

struct cancel_request {
    std::uint64_t call = 0;

    bool operator==(const cancel_request&) const = default;
};

struct strike {
    std::uint64_t fingerprint = 0;
    std::uint32_t count = 0;
    std::string recorded_by;

    bool operator==(const strike&) const = default;
};

struct strike_cleared {
    std::uint64_t fingerprint = 0;
    std::string recorded_by;

    bool operator==(const strike_cleared&) const = default;
};

struct drain_notice {
    std::string server;
    drain_evidence evidence = drain_evidence::policy;

    bool operator==(const drain_notice&) const = default;
};

using peer_message =
    std::variant<hello, hello_proof, heartbeat, claims_request, claims_report, member_list, entry_summary,
                 policy_request, policy_document, forward_request, execute_request, request_result,
                 cancel_request, strike, strike_cleared, drain_notice>;

inline constexpr std::size_t message_kind_count = std::variant_size_v<peer_message>;

// The stable name of the message kind at this index of the variant, for logs and metrics.
std::string_view message_kind_name(std::size_t index);

struct received_message {
    wire::envelope envelope;
    peer_message message;

    bool operator==(const received_message&) const = default;
};

} // namespace carawayway::wire
