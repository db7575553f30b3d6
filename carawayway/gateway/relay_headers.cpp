// Formats and parses the headers of relayed requests.
#include "carawayway/gateway/relay_headers.hpp"

#include <array>
#include <charconv>

namespace carawayway::gateway {

namespace {

constexpr std::string_view key_header = "Carawayway-Relay-Key";
constexpr std::string_view elapsed_header = "Carawayway-Relay-Elapsed-Us";
constexpr std::string_view attempts_header = "Carawayway-Relay-Attempts";
constexpr std::string_view earns_retries_header = "Carawayway-Relay-Earns-Retries";
constexpr std::string_view configuration_header = "Carawayway-Relay-Configuration";
constexpr std::string_view account_header = "Carawayway-Relay-Account";
constexpr std::string_view failure_header = "Carawayway-Relay-Failure";
constexpr std::string_view server_header = "Carawayway-Relay-Server";

constexpr std::array all_headers{key_header,           elapsed_header, attempts_header, earns_retries_header,
                                 configuration_header, account_header, failure_header,  server_header};

std::string header_value(const http::fields& headers, std::string_view name) {
    const auto found = headers.find(name);
    return found == headers.end() ? std::string{} : std::string(found->value());
}

template <class Number>
std::optional<Number> number_in(const http::fields& headers, std::string_view name) {
    const auto text = header_value(headers, name);
    Number number{};
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool is_valid = parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size();
    return is_valid ? std::optional(number) : std::nullopt;
}

} // namespace

void write_relayed_call(http::fields& headers, const relayed_call& call, std::string_view key) {
    const auto elapsed = std::chrono::duration_cast<std::chrono::microseconds>(call.elapsed).count();
    headers.set(key_header, key);
    headers.set(elapsed_header, std::to_string(elapsed));
    headers.set(attempts_header, std::to_string(call.attempts));
    headers.set(earns_retries_header, call.earns_retries ? "1" : "0");
    headers.set(configuration_header, std::to_string(call.configuration));
    if (!call.account.empty()) {
        headers.set(account_header, call.account);
    }
}

std::optional<relayed_call> read_relayed_call(const http::fields& headers) {
    const auto elapsed = number_in<std::uint32_t>(headers, elapsed_header);
    const auto attempts = number_in<std::uint32_t>(headers, attempts_header);
    const auto earns_retries = number_in<std::uint32_t>(headers, earns_retries_header);
    const auto configuration = number_in<std::uint64_t>(headers, configuration_header);
    if (!elapsed || !attempts || !earns_retries || !configuration) {
        return std::nullopt;
    }
    return relayed_call{std::chrono::microseconds{*elapsed}, *attempts, *earns_retries == 1, *configuration,
                        header_value(headers, account_header)};
}

bool has_relay_key(const http::fields& headers, std::string_view key) {
    return !key.empty() && header_value(headers, key_header) == key;
}

void write_relay_verdict(http::fields& headers, const relay_verdict& verdict) {
    if (verdict.failure) {
        headers.set(failure_header, base::properties_of(*verdict.failure).name);
    }
    if (!verdict.server.empty()) {
        headers.set(server_header, verdict.server);
    }
}

relay_verdict read_relay_verdict(const http::fields& headers) {
    relay_verdict verdict;
    verdict.server = header_value(headers, server_header);
    if (const auto name = header_value(headers, failure_header); !name.empty()) {
        // A kind that only a newer version knows says at least that no server's answer is in the response.
        verdict.failure = base::error_kind_from_name(name).value_or(base::error_kind::peer_lost);
    }
    return verdict;
}

void remove_relay_headers(http::fields& headers) {
    for (const auto name : all_headers) {
        headers.erase(name);
    }
}

} // namespace carawayway::gateway
