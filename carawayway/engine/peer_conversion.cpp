// Copies requests and responses field by field into wire messages and back.
#include "carawayway/engine/peer_conversion.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace carawayway::engine {

namespace {

std::vector<wire::header> to_wire(const std::vector<header_field>& headers) {
    std::vector<wire::header> converted;
    converted.reserve(headers.size());
    for (const auto& header : headers) {
        converted.push_back({header.name, header.value});
    }
    return converted;
}

std::vector<header_field> from_wire(std::vector<wire::header> headers) {
    std::vector<header_field> converted;
    converted.reserve(headers.size());
    for (auto& header : headers) {
        converted.push_back({std::move(header.name), std::move(header.value)});
    }
    return converted;
}

std::uint32_t to_wire_milliseconds(base::duration value) {
    constexpr std::int64_t highest = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(base::to_milliseconds(value), 0, highest));
}

} // namespace

wire::request to_wire(const pending_call& call, base::duration remaining) {
    const auto& request = *call.request;
    wire::request message;
    message.service = request.service;
    message.request_id = request.request_id;
    message.home_region = call.home_region;
    message.customer = request.customer;
    message.timeout_ms = to_wire_milliseconds(remaining);
    message.method = request.method;
    message.target = request.target;
    message.headers = to_wire(request.headers);
    message.body = request.body;
    message.fingerprint = call.fingerprint;
    return message;
}

wire::outcome to_wire(const service_response& response) {
    wire::outcome message;
    message.error = response.error;
    message.execution = response.execution;
    message.status = response.status;
    message.headers = to_wire(response.headers);
    message.body = response.body;
    message.retry_after_ms = to_wire_milliseconds(response.retry_after);
    message.server = response.server;
    message.detail = response.detail;
    return message;
}

service_request from_wire(wire::request message) {
    service_request request;
    request.service = std::move(message.service);
    request.customer = std::move(message.customer);
    request.home_region = std::move(message.home_region);
    request.request_id = std::move(message.request_id);
    request.method = std::move(message.method);
    request.target = std::move(message.target);
    request.headers = from_wire(std::move(message.headers));
    request.body = std::move(message.body);
    request.timeout = std::chrono::milliseconds(message.timeout_ms);
    return request;
}

service_response from_wire(wire::outcome message) {
    service_response response;
    response.execution = message.execution;
    response.error = message.error;
    response.status = message.status;
    response.headers = from_wire(std::move(message.headers));
    response.body = std::move(message.body);
    response.server = std::move(message.server);
    response.detail = std::move(message.detail);
    response.retry_after = std::chrono::milliseconds(message.retry_after_ms);
    return response;
}

std::size_t wire_size(const service_request& request) {
    std::size_t size = request.target.size() + request.body.size();
    for (const auto& header : request.headers) {
        size += header.name.size() + header.value.size();
    }
    return size;
}

} // namespace carawayway::engine
