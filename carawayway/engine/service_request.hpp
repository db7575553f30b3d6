// A caller's request to a service and the final response, as immutable values shared between threads.
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
    std::string customer; // empty if the caller did not name one
    std::string client_address;
    std::string home_region; // empty until derived from the client address
    std::string request_id;  // as sent by the caller; empty if there is none
    std::string method;
    std::string target;
    std::vector<header_field> headers; // end-to-end headers only
    std::string body;
    std::optional<base::duration> timeout; // time that the caller allows; absent: the service's default

    bool operator==(const service_request&) const = default;
};

// Identifies the content of a request; it is the same for resends with new request IDs.
std::uint64_t fingerprint(const service_request& request);

// The final response to a request: a complete response of a backend server, or an error if `error` is set.
struct service_response {
    base::execution_state execution = base::execution_state::unknown;
    std::optional<base::error_kind> error;
    std::uint16_t status = 500;
    std::vector<header_field> headers;
    std::string body;
    std::string server;            // the backend server that responded
    std::string detail;            // for people; set only with `error`
    base::duration retry_after{};  // zero: not given
    std::string request_id_prefix; // prefix for new request IDs; empty if none is issued

    bool operator==(const service_response&) const = default;
};

using request_ptr = std::shared_ptr<const service_request>;
using response_ptr = std::shared_ptr<const service_response>;

// The response for an error of this kind, with the status and execution state of the error table.
service_response make_error_response(base::error_kind kind, std::string detail,
                                     base::duration retry_after = {});

} // namespace carawayway::engine
