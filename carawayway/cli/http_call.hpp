// Blocking HTTP calls of the subcommands.
#pragma once

#include "carawayway/base/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace carawayway::cli {

struct http_call {
    std::string address;        // IP:port
    std::string source_address; // IP to call from; empty: any
    std::string method = "GET";
    std::string target = "/";
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    base::duration timeout = std::chrono::seconds(5);
};

struct http_reply {
    unsigned status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    // Returns the value of a header, or an empty string. Names are case-insensitive.
    std::string header(std::string_view name) const;
};

enum class call_failure : std::uint8_t {
    none,
    bad_address,
    not_sent,        // no connection, nothing was sent
    outcome_unknown, // the connection failed or timed out after sending began
};

// Returns the reply, or std::nullopt with the kind of failure and a human-readable reason.
std::optional<http_reply> perform(const http_call& call, call_failure& failure, std::string& reason);

} // namespace carawayway::cli
