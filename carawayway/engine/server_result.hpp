// The result of an attempt at a backend server.
#pragma once

#include "carawayway/engine/service_request.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace carawayway::engine {

enum class attempt_outcome : std::uint8_t {
    answered,            // the complete response arrived
    refused_before_work, // the server reported that it did not start the work
    not_sent,            // no byte of the request was written
    lost,                // the connection broke after the request may have been sent
    truncated,           // the response was incomplete
    mismatched,          // the response belongs to another request; the connection is closed
    timed_out,           // the attempt's timeout expired; the connection is closed
    cancelled,           // cancelled by this entry instance; the connection is closed
};

enum class drain_signal : std::uint8_t { none, draining };

struct server_result {
    attempt_outcome outcome = attempt_outcome::lost;
    std::uint16_t status = 0;
    std::vector<header_field> headers;
    std::string body;
    drain_signal drain = drain_signal::none; // whether the server reported that it is leaving
    std::optional<std::uint32_t> reported_in_flight;

    bool operator==(const server_result&) const = default;
};

} // namespace carawayway::engine
