// One blocking HTTP call, for the subcommands.
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

    // Empty when there is no such header; names are compared without case.
    std::string header(std::string_view name) const;
};

enum class call_failure : std::uint8_t {
    none,
    bad_address,
    not_sent,        // no connection: nothing reached the other side
    outcome_unknown, // the connection broke or timed out after something was sent
};

// An empty optional with the kind of failure and a text for people.
std::optional<http_reply> perform(const http_call& call, call_failure& failure, std::string& reason);

} // namespace carawayway::cli
