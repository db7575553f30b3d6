// Parses and formats single values.
#include "carawayway/config/value_text.hpp"

#include "carawayway/client_blocks/client_address.hpp"

#include <fmt/format.h>

#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <chrono>
#include <cmath>
#include <limits>
#include <utility>

namespace carawayway::config {

namespace {

constexpr std::string_view list_whitespace = " \t";
constexpr std::int64_t maximum_duration_ms = std::numeric_limits<std::int64_t>::max() / 1'000'000;

template <class Number>
bool parse_number(std::string_view text, Number& value) {
    Number number{};
    const char* const end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc{} || rest != end) {
        return false;
    }
    value = number;
    return true;
}

std::string_view trim_item(std::string_view text) {
    const auto first = text.find_first_not_of(list_whitespace);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(list_whitespace) - first + 1);
}

template <class Item>
bool parse_list(std::string_view text, std::vector<Item>& value) {
    std::vector<Item> items;
    while (true) {
        const auto comma = text.find(',');
        const std::string_view item_text = trim_item(text.substr(0, comma));
        Item item;
        if (item_text.empty() || !parse_value(item_text, item)) {
            return false;
        }
        items.push_back(item);
        if (comma == std::string_view::npos) {
            break;
        }
        text.remove_prefix(comma + 1);
    }
    value = std::move(items);
    return true;
}

template <class Item>
std::string format_list(const std::vector<Item>& value) {
    std::string text;
    for (const auto& item : value) {
        text += text.empty() ? "" : ",";
        text += format_value(item);
    }
    return text;
}

template <class Value>
struct enum_name {
    std::string_view text;
    Value value;
};

template <class Value, std::size_t Count>
bool parse_enum(std::string_view text, const std::array<enum_name<Value>, Count>& names, Value& value) {
    for (const auto& item : names) {
        if (item.text == text) {
            value = item.value;
            return true;
        }
    }
    return false;
}

template <class Value, std::size_t Count>
std::string format_enum(Value value, const std::array<enum_name<Value>, Count>& names) {
    for (const auto& item : names) {
        if (item.value == value) {
            return std::string(item.text);
        }
    }
    return {};
}

constexpr std::array semantics_names{
    enum_name<request_semantics>{"idempotent", request_semantics::idempotent},
    enum_name<request_semantics>{"non-idempotent", request_semantics::non_idempotent}};
constexpr std::array state_names{enum_name<administrative_state>{"active", administrative_state::active},
                                 enum_name<administrative_state>{"draining", administrative_state::draining}};
constexpr std::array log_level_names{enum_name<base::log_level>{"debug", base::log_level::debug},
                                     enum_name<base::log_level>{"info", base::log_level::info},
                                     enum_name<base::log_level>{"warning", base::log_level::warning},
                                     enum_name<base::log_level>{"error", base::log_level::error}};

// The canonical text of an IP address, so that equal addresses have equal text. Empty if the text is not an
// IP address, for wildcard addresses, which cannot be connected to, and for IPv4-mapped IPv6 addresses, which
// would be a second text for an IPv4 address.
std::string canonical_host(std::string_view text) {
    const bool ipv6 = text.find(':') != std::string_view::npos;
    const auto address = client_blocks::client_address::parse(text);
    const auto written_family =
        ipv6 ? client_blocks::address_family::ipv6 : client_blocks::address_family::ipv4;
    if (!address.has_value() || address->family() != written_family) {
        return {};
    }
    const int family = ipv6 ? AF_INET6 : AF_INET;
    std::array<std::uint8_t, sizeof(in6_addr)> bytes{};
    std::array<char, INET6_ADDRSTRLEN> canonical{};
    if (inet_pton(family, std::string(text).c_str(), bytes.data()) != 1 || bytes == decltype(bytes){} ||
        inet_ntop(family, bytes.data(), canonical.data(), canonical.size()) == nullptr) {
        return {};
    }
    return canonical.data();
}

} // namespace

bool parse_value(std::string_view text, std::string& value) {
    value = std::string(text);
    return true;
}

bool parse_value(std::string_view text, std::uint32_t& value) {
    return parse_number(text, value);
}

bool parse_value(std::string_view text, double& value) {
    double number = 0;
    if (!parse_number(text, number) || !std::isfinite(number)) {
        return false;
    }
    value = number;
    return true;
}

bool parse_value(std::string_view text, base::duration& value) {
    std::int64_t milliseconds = 0;
    if (!parse_number(text, milliseconds) || milliseconds < 0 || milliseconds > maximum_duration_ms) {
        return false;
    }
    value = std::chrono::milliseconds(milliseconds);
    return true;
}

bool parse_value(std::string_view text, request_semantics& value) {
    return parse_enum(text, semantics_names, value);
}

bool parse_value(std::string_view text, administrative_state& value) {
    return parse_enum(text, state_names, value);
}

bool parse_value(std::string_view text, base::log_level& value) {
    return parse_enum(text, log_level_names, value);
}

bool parse_value(std::string_view text, socket_address& value) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return false;
    }
    std::string_view host = text.substr(0, colon);
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    const bool ipv6 = host.find(':') != std::string_view::npos;
    if (bracketed != ipv6) {
        return false;
    }
    if (bracketed) {
        host = host.substr(1, host.size() - 2);
    }
    socket_address address{canonical_host(host), 0};
    if (address.host.empty() || !parse_number(text.substr(colon + 1), address.port)) {
        return false;
    }
    value = address;
    return true;
}

bool parse_value(std::string_view text, std::vector<std::string>& value) {
    return parse_list(text, value);
}

bool parse_value(std::string_view text, std::vector<socket_address>& value) {
    return parse_list(text, value);
}

std::string format_value(const std::string& value) {
    return value;
}

std::string format_value(std::uint32_t value) {
    return fmt::format("{}", value);
}

std::string format_value(double value) {
    return fmt::format("{}", value);
}

std::string format_value(base::duration value) {
    return fmt::format("{}", base::to_milliseconds(value));
}

std::string format_value(request_semantics value) {
    return format_enum(value, semantics_names);
}

std::string format_value(administrative_state value) {
    return format_enum(value, state_names);
}

std::string format_value(base::log_level value) {
    return format_enum(value, log_level_names);
}

std::string format_value(const socket_address& value) {
    const bool ipv6 = value.host.find(':') != std::string::npos;
    return ipv6 ? fmt::format("[{}]:{}", value.host, value.port)
                : fmt::format("{}:{}", value.host, value.port);
}

std::string format_value(const std::vector<std::string>& value) {
    return format_list(value);
}

std::string format_value(const std::vector<socket_address>& value) {
    return format_list(value);
}

} // namespace carawayway::config
