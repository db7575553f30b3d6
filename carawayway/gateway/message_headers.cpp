// Removes and parses hop-by-hop headers.
#include "carawayway/gateway/message_headers.hpp"

#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <numeric>

namespace carawayway::gateway {

namespace {

// Keeps times within the range of base::duration.
constexpr double longest_retry_after_seconds = 86'400.0;

bool has_status_line(std::string_view text) {
    constexpr std::string_view version = "HTTP/1.";
    constexpr std::size_t code_position = version.size() + 2; // behind the minor version and a space
    constexpr std::size_t code_digits = 3;
    const auto is_digit = [](char character) { return character >= '0' && character <= '9'; };
    for (auto begin = text.find(version); begin != std::string_view::npos;
         begin = text.find(version, begin + 1)) {
        const auto line = text.substr(begin);
        if (line.size() >= code_position + code_digits && is_digit(line[version.size()]) &&
            line[code_position - 1] == ' ' &&
            std::all_of(line.begin() + code_position, line.begin() + code_position + code_digits, is_digit)) {
            return true;
        }
    }
    return false;
}

} // namespace

void remove_hop_by_hop_headers(http::fields& headers) {
    std::vector<std::string> named_by_connection;
    for (const auto& token : http::token_list{headers[http::field::connection]}) {
        named_by_connection.emplace_back(token);
    }
    for (const auto& name : named_by_connection) {
        headers.erase(name);
    }
    constexpr std::array always_removed{
        http::field::connection,
        http::field::keep_alive,
        http::field::proxy_connection,
        http::field::proxy_authenticate,
        http::field::proxy_authorization,
        http::field::te,
        http::field::trailer,
        http::field::transfer_encoding,
        http::field::upgrade,
        http::field::expect,
        http::field::content_length,
    };
    for (const auto name : always_removed) {
        headers.erase(name);
    }
}

std::size_t memory_of(const http::fields& headers) {
    // Of one message beside its fields, and of one field beside its text.
    constexpr std::size_t message_overhead_bytes = 1024;
    constexpr std::size_t field_overhead_bytes = 96;
    return std::accumulate(
        headers.begin(), headers.end(), message_overhead_bytes, [](std::size_t sum, const auto& field) {
            return sum + field_overhead_bytes + field.name_string().size() + field.value().size();
        });
}

std::optional<base::duration> keep_alive_timeout(const http::fields& headers) {
    const auto found = headers.find(http::field::keep_alive);
    if (found == headers.end()) {
        return std::nullopt;
    }
    constexpr std::string_view parameter = "timeout=";
    const std::string_view text(found->value());
    const auto position = text.find(parameter);
    if (position == std::string_view::npos) {
        return std::nullopt;
    }
    unsigned seconds = 0;
    const char* const first = text.data() + position + parameter.size();
    if (std::from_chars(first, text.data() + text.size(), seconds).ec != std::errc{}) {
        return std::nullopt;
    }
    return std::chrono::seconds{seconds};
}

std::optional<base::duration> retry_after_in(const http::fields& headers) {
    const auto found = headers.find(http::field::retry_after);
    if (found == headers.end()) {
        return std::nullopt;
    }
    const std::string_view text(found->value());
    double seconds = 0.0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), seconds);
    const bool is_valid = parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size() &&
                          seconds >= 0.0 && seconds <= longest_retry_after_seconds;
    if (!is_valid) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<base::duration>(std::chrono::duration<double>(seconds));
}

bool contains_status_line(const http_response& response) {
    return has_status_line(response.reason()) ||
           std::any_of(response.begin(), response.end(),
                       [](const auto& header) { return has_status_line(header.value()); });
}

} // namespace carawayway::gateway
