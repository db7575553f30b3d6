// A caller's request to a service and its final answer, as immutable values shared between threads.
#pragma once

#include "carawayway/base/error_kind.hpp"
#include "carawayway/base/time.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace carawayway::engine {

struct header_field {
    std::string name;
    std::string value;

    bool operator==(const header_field&) const = default;
};

struct service_request {
    std::string service;
    std::string customer; // empty when the caller did not say
    std::string client_address;
    std::string home_region; // empty until it is looked up from the client address
    std::string request_id;  // as sent by the caller; empty when there is none
    std::string method;
    std::string target;
    std::vector<header_field> headers; // end-to-end headers only
    std::string body;
    std::optional<base::duration> timeout; // remaining time the caller gives; none: the service's default

    bool operator==(const service_request&) const = default;
};

// Identifies the content of a request over resends under new IDs.
std::uint64_t fingerprint(const service_request& request);

// A final answer. Without an `error` it is a backend server's whole answer.
struct service_response {
    base::execution_state execution = base::execution_state::unknown;
    std::optional<base::error_kind> error;
    std::uint16_t status = 500;
    std::vector<header_field> headers;
    std::string body;
    std::string server;            // the backend server that answered
    std::string detail;            // for people; only with an error
    base::duration retry_after{};  // zero: no advice
    std::string request_id_prefix; // fresh prefix for the next request, when the entry issues one

    bool operator==(const service_response&) const = default;
};

using request_ptr = std::shared_ptr<const service_request>;
using response_ptr = std::shared_ptr<const service_response>;

// The answer for an error of this kind, with status and execution state from the answer table.
service_response make_error_response(base::error_kind kind, std::string detail,
                                     base::duration retry_after = {});

} // namespace carawayway::engine
