// Converts headers and bodies and writes problem documents (application/problem+json).
#include "carawayway/entry/caller_http.hpp"

#include <boost/beast/core/string.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace carawayway::entry {

namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

constexpr std::string_view service_path_prefix = "/service/";
constexpr std::string_view execution_header = "X-Execution";
constexpr std::string_view timeout_header = "X-Request-Timeout-Ms";
constexpr std::string_view customer_header = "X-Customer";
constexpr std::string_view request_id_header = "Idempotency-Key";
constexpr std::size_t maximum_customer_name_bytes = 64; // the name becomes a metric label
constexpr std::int64_t maximum_timeout_milliseconds = 600000;

std::string_view to_view(boost::beast::string_view text) {
    return {text.data(), text.size()};
}

int hex_digit(char digit) {
    if (digit >= '0' && digit <= '9') {
        return digit - '0';
    }
    if (digit >= 'a' && digit <= 'f') {
        return digit - 'a' + 10;
    }
    if (digit >= 'A' && digit <= 'F') {
        return digit - 'A' + 10;
    }
    return -1;
}

std::optional<std::string> percent_decode(std::string_view text) {
    std::string decoded;
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (text[index] != '%') {
            decoded += text[index];
            continue;
        }
        if (index + 2 >= text.size()) {
            return std::nullopt;
        }
        const int high = hex_digit(text[index + 1]);
        const int low = hex_digit(text[index + 2]);
        if (high < 0 || low < 0) {
            return std::nullopt;
        }
        decoded += static_cast<char>(high * 16 + low);
        index += 2;
    }
    return decoded;
}

std::int64_t round_up_to_seconds(base::duration value) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(value).count();
    return std::max<std::int64_t>(seconds, 0);
}

// True for headers that the entry instance interprets itself. They are not forwarded as the caller sent them.
bool is_consumed_header(std::string_view name) {
    return boost::beast::iequals(name, timeout_header) || boost::beast::iequals(name, request_id_header) ||
           boost::beast::iequals(name, "X-Request-Id");
}

std::string problem_document(const engine::service_response& answer) {
    const auto& row = base::properties_of(*answer.error);
    json::object document;
    document["type"] = "urn:carawayway:error:" + std::string(row.name);
    document["title"] = row.title;
    document["status"] = answer.status;
    document["detail"] = answer.detail;
    document["kind"] = row.name;
    document["execution"] = base::to_string(answer.execution);
    document["advice"] = base::to_string(row.advice);
    document["retry_after_ms"] = base::to_milliseconds(answer.retry_after);
    if (!answer.request_id_prefix.empty()) {
        document["request_id_prefix"] = answer.request_id_prefix;
    }
    return json::serialize(document) + "\n";
}

} // namespace

bool is_hop_by_hop(std::string_view header_name) {
    constexpr std::array<std::string_view, 10> names{
        "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "TE",
        "Trailer",    "Upgrade",    "Transfer-Encoding",  "Content-Length",      "Host"};
    return std::any_of(names.begin(), names.end(), [header_name](std::string_view name) {
        return boost::beast::iequals(name, header_name);
    });
}

std::optional<std::string> query_parameter(std::string_view target, std::string_view name) {
    const auto start = target.find('?');
    if (start == std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view query = target.substr(start + 1);
    while (!query.empty()) {
        const auto end = std::min(query.find('&'), query.size());
        const std::string_view pair = query.substr(0, end);
        const auto equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
            return percent_decode(pair.substr(equals + 1));
        }
        query.remove_prefix(std::min(end + 1, query.size()));
    }
    return std::nullopt;
}

std::optional<std::string> service_name_of_target(std::string_view target) {
    if (!target.starts_with(service_path_prefix)) {
        return std::nullopt;
    }
    target.remove_prefix(service_path_prefix.size());
    const auto end = std::min(target.find_first_of("/?"), target.size());
    if (end == 0) {
        return std::nullopt;
    }
    return std::string(target.substr(0, end));
}

std::optional<engine::service_request> to_service_request(const http_request& message, std::string service,
                                                          std::string client_address,
                                                          base::failure& last_failure) {
    engine::service_request request;
    request.service = std::move(service);
    request.client_address = std::move(client_address);
    request.method = std::string(to_view(message.method_string()));
    request.target = std::string(to_view(message.target()));
    request.body = message.body();
    if (const auto field = message.find(request_id_header); field != message.end()) {
        request.request_id = std::string(to_view(field->value()));
    }
    if (const auto field = message.find(customer_header); field != message.end()) {
        request.customer = std::string(to_view(field->value()).substr(0, maximum_customer_name_bytes));
    }
    if (const auto field = message.find(timeout_header); field != message.end()) {
        const std::string_view text = to_view(field->value());
        std::int64_t milliseconds = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
        if (error != std::errc{} || end != text.data() + text.size() || milliseconds <= 0 ||
            milliseconds > maximum_timeout_milliseconds) {
            last_failure = {base::error_kind::request_invalid,
                            "X-Request-Timeout-Ms must be a number of milliseconds from 1 to 600000"};
            return std::nullopt;
        }
        request.timeout = std::chrono::milliseconds(milliseconds);
    }
    for (const auto& field : message) {
        const std::string_view name = to_view(field.name_string());
        if (!is_hop_by_hop(name) && !is_consumed_header(name)) {
            request.headers.push_back({std::string(name), std::string(to_view(field.value()))});
        }
    }
    return request;
}

http_response to_response(const engine::service_response& answer, unsigned http_version) {
    http_response response(static_cast<http::status>(answer.status), http_version);
    for (const auto& header : answer.headers) {
        response.insert(header.name, header.value);
    }
    response.set(execution_header, base::to_string(answer.execution));
    if (!answer.server.empty()) {
        response.set("X-Server", answer.server);
    }
    if (!answer.request_id_prefix.empty()) {
        response.set("X-Request-Id-Prefix", answer.request_id_prefix);
    }
    if (!answer.error) {
        response.body() = answer.body;
    } else {
        response.set(http::field::content_type, "application/problem+json");
        response.body() = problem_document(answer);
        if (answer.retry_after > base::duration::zero()) {
            response.set(http::field::retry_after, std::to_string(round_up_to_seconds(answer.retry_after)));
        }
    }
    response.prepare_payload();
    return response;
}

http_response json_response(unsigned status, std::string body, unsigned http_version) {
    http_response response(static_cast<http::status>(status), http_version);
    response.set(http::field::content_type, "application/json");
    response.body() = std::move(body);
    response.prepare_payload();
    return response;
}

http_response to_response(const engine::lookup_response& answer, unsigned http_version) {
    if (answer.error) {
        return to_response(engine::make_error_response(*answer.error, answer.detail, std::chrono::seconds(1)),
                           http_version);
    }
    json::object document;
    document["service"] = answer.service;
    document["home_region"] = answer.home_region;
    json::array entries;
    for (const auto& entry : answer.entries) {
        entries.push_back(json::object{{"name", entry.name},
                                       {"address", entry.address},
                                       {"domain", entry.failure_domain},
                                       {"region", entry.region}});
    }
    document["entries"] = std::move(entries);
    document["ttl_ms"] = base::to_milliseconds(answer.lifetime);
    document["request_id_prefix"] = answer.request_id_prefix;
    document["accept_ms"] = base::to_milliseconds(answer.acceptance);
    http_response response = json_response(200, json::serialize(document) + "\n", http_version);
    const auto lifetime = std::chrono::duration_cast<std::chrono::seconds>(answer.lifetime).count();
    response.set(http::field::cache_control, "private, max-age=" + std::to_string(lifetime));
    return response;
}

} // namespace carawayway::entry
