// Headers by which gateways tell each other about relayed requests and their responses.
#pragma once

#include "carawayway/base/error_kind.hpp"
#include "carawayway/base/time.hpp"

#include <boost/beast/http/fields.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace carawayway::gateway {

namespace http = boost::beast::http;

// What the gateway that got a request from its caller tells the one that sends it to a server.
struct relayed_call {
    base::duration elapsed{};        // since the request arrived
    std::uint32_t attempts = 0;      // that have reached a server so far
    bool earns_retries = false;      // the receiver counts it as a first attempt, since the sender does not
    std::uint64_t configuration = 0; // version in force at the sender
    std::string account{};           // client account of the caller; empty: none

    bool operator==(const relayed_call&) const = default;
};

// What it learns with the response.
struct relay_verdict {
    std::optional<base::error_kind> failure; // the response is an error of the gateway, not of a server
    std::string server;                      // that answered; empty if none did

    bool operator==(const relay_verdict&) const = default;
};

void write_relayed_call(http::fields& headers, const relayed_call& call, std::string_view key);
// Nothing if the headers are missing or cannot be read.
std::optional<relayed_call> read_relayed_call(const http::fields& headers);
// Whether the request presents this key.
bool has_relay_key(const http::fields& headers, std::string_view key);

void write_relay_verdict(http::fields& headers, const relay_verdict& verdict);
relay_verdict read_relay_verdict(const http::fields& headers);

// Callers and servers see none of these headers, and cannot set them for others.
void remove_relay_headers(http::fields& headers);

} // namespace carawayway::gateway
