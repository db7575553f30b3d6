// Translation between HTTP messages and the values of the engine. Private to the listener's source file.
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

// The value of a query parameter, percent-decoded; empty optional when absent or malformed.
std::optional<std::string> query_parameter(std::string_view target, std::string_view name);

// The service name of a target "/service/NAME/..."; empty optional for any other target.
std::optional<std::string> service_of_target(std::string_view target);

// An empty optional with the reason when a header of ours is malformed.
std::optional<engine::service_request> to_service_request(const http_request& message, std::string service,
                                                          std::string client_address,
                                                          base::failure& last_failure);

http_response to_response(const engine::service_response& answer, unsigned http_version);
http_response to_response(const engine::lookup_response& answer, unsigned http_version);
http_response json_response(unsigned status, std::string body, unsigned http_version);

// True for headers that concern one connection only and are never forwarded.
bool is_hop_by_hop(std::string_view header_name);

} // namespace carawayway::entry
