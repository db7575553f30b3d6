// Parser and formatter of request IDs.
#include "carawayway/requests/request_id.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <system_error>

namespace carawayway::requests {

namespace {

bool is_digit(char character) {
    return character >= '0' && character <= '9';
}

bool is_lower(char character) {
    return character >= 'a' && character <= 'z';
}

bool is_upper(char character) {
    return character >= 'A' && character <= 'Z';
}

bool is_entry_character(char character) {
    return is_lower(character) || is_digit(character) || character == '-';
}

bool is_hexadecimal_digit(char character) {
    return is_digit(character) || (character >= 'a' && character <= 'f');
}

bool is_nonce_character(char character) {
    return is_lower(character) || is_upper(character) || is_digit(character) || character == '_' ||
           character == '-';
}

using character_predicate = bool (*)(char);

bool is_well_formed(std::string_view part, std::size_t shortest, std::size_t longest,
                    character_predicate is_allowed) {
    return part.size() >= shortest && part.size() <= longest &&
           std::all_of(part.begin(), part.end(), is_allowed);
}

// Returns the text before the first dot, and removes it and the dot from `rest`. None without a dot.
std::optional<std::string_view> split_off_part(std::string_view& rest) {
    const auto dot = rest.find('.');
    if (dot == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view part = rest.substr(0, dot);
    rest.remove_prefix(dot + 1);
    return part;
}

template <class Number>
Number parse_number(std::string_view digits, int base) {
    Number number{};
    std::from_chars(digits.data(), digits.data() + digits.size(), number, base);
    return number;
}

} // namespace

std::optional<request_id> parse_request_id(std::string_view text, base::failure& last_failure) {
    const auto invalid = [&last_failure](std::string_view detail) {
        last_failure = {base::error_kind::request_id_invalid, std::string{detail}};
        return std::nullopt;
    };
    if (text.empty()) {
        last_failure = {base::error_kind::request_id_missing, "empty request ID"};
        return std::nullopt;
    }
    if (text.size() > request_id_limit) {
        return invalid("request ID too long");
    }
    std::string_view nonce = text;
    const auto entry = split_off_part(nonce);
    const auto incarnation = split_off_part(nonce);
    const auto accept = split_off_part(nonce);
    if (!entry || !incarnation || !accept) {
        return invalid("request ID needs four parts separated by dots");
    }
    if (!is_well_formed(*entry, 1, entry_name_limit, is_entry_character)) {
        return invalid("invalid entry name in request ID");
    }
    if (!is_well_formed(*incarnation, incarnation_digits, incarnation_digits, is_hexadecimal_digit)) {
        return invalid("invalid incarnation in request ID");
    }
    const bool has_leading_zero = accept->size() > 1 && accept->front() == '0';
    if (has_leading_zero || !is_well_formed(*accept, 1, accept_digit_limit, is_digit)) {
        return invalid("invalid acceptance time in request ID");
    }
    if (!is_well_formed(nonce, 1, nonce_limit, is_nonce_character)) {
        return invalid("invalid nonce in request ID");
    }
    constexpr int decimal = 10;
    constexpr int hexadecimal = 16;
    return request_id{std::string{*entry}, parse_number<std::uint64_t>(*incarnation, hexadecimal),
                      std::chrono::milliseconds(parse_number<std::int64_t>(*accept, decimal)),
                      std::string{nonce}};
}

std::string request_id_prefix(std::string_view entry, std::uint64_t incarnation,
                              base::duration accept_until) {
    return fmt::format("{}.{:016x}.{}.", entry, incarnation, base::to_milliseconds(accept_until));
}

std::string to_string(const request_id& id) {
    return request_id_prefix(id.entry, id.incarnation, id.accept_until) + id.nonce;
}

} // namespace carawayway::requests
