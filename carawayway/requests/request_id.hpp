// The ID of a non-idempotent request: `ENTRY.INCARNATION.ACCEPT.NONCE`. It names the incarnation of an entry
// instance that alone may execute the request.
#pragma once

#include "carawayway/base/error_kind.hpp"
#include "carawayway/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace carawayway::requests {

inline constexpr std::size_t entry_name_limit = 64; // characters
inline constexpr std::size_t incarnation_digits = 16;
inline constexpr std::size_t accept_digit_limit = 12; // 31 years, which fits into base::duration
inline constexpr std::size_t nonce_limit = 64;        // characters
inline constexpr std::size_t request_id_limit =
    entry_name_limit + incarnation_digits + accept_digit_limit + nonce_limit + 3; // characters

struct request_id {
    std::string entry; // [a-z0-9-]{1,64}
    std::uint64_t incarnation = 0;
    // Whole milliseconds since the start of the incarnation; new IDs are accepted until then.
    base::duration accept_until{};
    std::string nonce; // [A-Za-z0-9_-]{1,64}

    bool operator==(const request_id&) const = default;
};

// Accepts only the canonical form (lower-case hexadecimal digits, no leading zeros in ACCEPT), so that no two
// different texts are the same ID. Fails with request_id_missing (empty text) or request_id_invalid.
std::optional<request_id> parse_request_id(std::string_view text, base::failure& last_failure);

// Inverse of parse_request_id.
std::string to_string(const request_id& id);

// Returns `ENTRY.INCARNATION.ACCEPT.`, to which a caller appends its nonce. `accept_until` is truncated to
// milliseconds.
std::string request_id_prefix(std::string_view entry, std::uint64_t incarnation, base::duration accept_until);

} // namespace carawayway::requests
