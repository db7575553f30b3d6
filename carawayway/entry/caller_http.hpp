// Conversion between HTTP messages and the types of the engine. Internal to this folder.
#pragma once

#include "carawayway/engine/lookup_response.hpp"
#include "carawayway/engine/service_request.hpp"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace carawayway::entry {

using http_request = boost::beast::http::request<boost::beast::http::string_body>;
using http_response = boost::beast::http::response<boost::beast::http::string_body>;

// Returns the percent-decoded value of a query parameter, or no value when it is absent or malformed.
std::optional<std::string> query_parameter(std::string_view target, std::string_view name);

// Returns the service name of a target "/service/NAME/...", or no value for any other target.
std::optional<std::string> service_name_of_target(std::string_view target);

// Returns no value and sets `last_failure` when X-Request-Timeout-Ms is malformed.
std::optional<engine::service_request> to_service_request(const http_request& message, std::string service,
                                                          std::string client_address,
                                                          base::failure& last_failure);

http_response to_response(const engine::service_response& answer, unsigned http_version);
http_response to_response(const engine::lookup_response& answer, unsigned http_version);
http_response json_response(unsigned status, std::string body, unsigned http_version);

// True for headers that apply to a single connection and are never forwarded.
bool is_hop_by_hop(std::string_view header_name);

} // namespace carawayway::entry
