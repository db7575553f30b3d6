// Implements one check for each kind of value.
#include "carawayway/config/key_check.hpp"

#include "carawayway/config/value_text.hpp"

#include <algorithm>
#include <unordered_set>

namespace carawayway::config {

namespace {

constexpr std::size_t maximum_name_bytes = 63;
constexpr std::size_t maximum_token_bytes = 128;
constexpr std::size_t maximum_text_bytes = 1024;
constexpr std::size_t maximum_path_bytes = 4096;

bool is_lower_or_digit(char character) {
    return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9');
}

bool is_token(std::string_view text) {
    const auto allowed = [](char character) {
        return is_lower_or_digit(character) || (character >= 'A' && character <= 'Z') || character == '.' ||
               character == '_' || character == '-';
    };
    return !text.empty() && text.size() <= maximum_token_bytes &&
           std::all_of(text.begin(), text.end(), allowed);
}

bool has_control_character(std::string_view text) {
    return std::any_of(text.begin(), text.end(), [](char character) {
        const auto byte = static_cast<unsigned char>(character);
        return byte < ' ' || byte == 0x7F;
    });
}

// Length in bytes of the UTF-8 sequence that starts with `lead`; 0 if no sequence starts with it.
std::size_t utf8_sequence_length(unsigned char lead) {
    if (lead < 0x80) {
        return 1;
    }
    if (lead >= 0xC2 && lead <= 0xDF) {
        return 2;
    }
    if (lead >= 0xE0 && lead <= 0xEF) {
        return 3;
    }
    return lead >= 0xF0 && lead <= 0xF4 ? 4 : 0;
}

// Text values are part of JSON responses, which must be valid UTF-8.
bool is_utf8(std::string_view text) {
    while (!text.empty()) {
        const auto lead = static_cast<unsigned char>(text.front());
        const std::size_t length = utf8_sequence_length(lead);
        if (length == 0 || length > text.size()) {
            return false;
        }
        const auto is_continuation = [](char character) {
            return (static_cast<unsigned char>(character) & 0xC0U) == 0x80U;
        };
        if (!std::all_of(text.begin() + 1, text.begin() + static_cast<std::ptrdiff_t>(length),
                         is_continuation)) {
            return false;
        }
        const auto second = length > 1 ? static_cast<unsigned char>(text[1]) : 0;
        const bool overlong = (lead == 0xE0 && second < 0xA0) || (lead == 0xF0 && second < 0x90);
        const bool surrogate_or_too_large =
            (lead == 0xED && second >= 0xA0) || (lead == 0xF4 && second >= 0x90);
        if (overlong || surrogate_or_too_large) {
            return false;
        }
        text.remove_prefix(length);
    }
    return true;
}

// Whether the text stays unchanged when it is written as an INI value and read back.
bool is_valid_text(std::string_view text, std::size_t maximum_bytes) {
    if (text.size() > maximum_bytes || has_control_character(text) || !is_utf8(text)) {
        return false;
    }
    return text.empty() || (text.front() != ' ' && text.back() != ' ');
}

bool is_name_list(std::string_view text) {
    std::vector<std::string> names;
    if (text.empty()) {
        return true;
    }
    if (!parse_value(text, names) || !std::all_of(names.begin(), names.end(), is_valid_name)) {
        return false;
    }
    return std::unordered_set<std::string>(names.begin(), names.end()).size() == names.size();
}

bool is_address(std::string_view text, std::uint32_t minimum_port) {
    socket_address address;
    return parse_value(text, address) && address.port >= minimum_port;
}

bool is_remote_address_list(std::string_view text) {
    std::vector<socket_address> addresses;
    if (!parse_value(text, addresses)) {
        return false;
    }
    std::unordered_set<std::string> distinct;
    return std::all_of(addresses.begin(), addresses.end(), [&distinct](const socket_address& address) {
        return address.port != 0 && distinct.insert(format_value(address)).second;
    });
}

bool is_store_key(std::string_view text) {
    return is_valid_text(text, maximum_text_bytes) && !text.empty() && text.front() == '/' &&
           text.find(' ') == std::string_view::npos;
}

bool is_in_range(const key_description& key, double value) {
    return value >= key.minimum && value <= key.maximum;
}

bool is_integer(const key_description& key, std::string_view text) {
    std::uint32_t value = 0;
    return parse_value(text, value) && is_in_range(key, value);
}

bool is_real(const key_description& key, std::string_view text) {
    double value = 0;
    return parse_value(text, value) && is_in_range(key, value);
}

bool is_duration(const key_description& key, std::string_view text) {
    base::duration value{};
    return parse_value(text, value) && is_in_range(key, static_cast<double>(base::to_milliseconds(value)));
}

template <class Enum>
bool is_enum_name(std::string_view text) {
    Enum value{};
    return parse_value(text, value);
}

} // namespace

bool is_valid_name(std::string_view text) {
    const auto allowed = [](char character) { return is_lower_or_digit(character) || character == '-'; };
    return !text.empty() && text.size() <= maximum_name_bytes &&
           std::all_of(text.begin(), text.end(), allowed);
}

bool is_valid_value(const key_description& key, std::string_view text) {
    switch (key.kind) {
    case value_kind::name:
        return is_valid_name(text);
    case value_kind::name_list:
        return is_name_list(text);
    case value_kind::token:
        return is_token(text);
    case value_kind::text:
        return is_valid_text(text, maximum_text_bytes);
    case value_kind::file_path:
        return !text.empty() && is_valid_text(text, maximum_path_bytes);
    case value_kind::store_key:
        return is_store_key(text);
    case value_kind::integer:
        return is_integer(key, text);
    case value_kind::real:
        return is_real(key, text);
    case value_kind::milliseconds:
        return is_duration(key, text);
    case value_kind::semantics:
        return is_enum_name<request_semantics>(text);
    case value_kind::state:
        return is_enum_name<administrative_state>(text);
    case value_kind::log_level:
        return is_enum_name<base::log_level>(text);
    case value_kind::listen_address:
        return is_address(text, 0);
    case value_kind::remote_address:
        return is_address(text, 1);
    case value_kind::remote_address_list:
        return is_remote_address_list(text);
    }
    return false;
}

} // namespace carawayway::config
