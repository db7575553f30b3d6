// Builds and parses messages of the etcd v3 HTTP/JSON gateway. The functions are pure; the parsers are safe
// for arbitrary input.
#pragma once

#include "carawayway/base/error_kind.hpp"
#include "carawayway/store/config_store.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carawayway::store::etcd_json {

std::string range_request(std::string_view key, std::string_view range_end);
// A transaction that writes the key if its modification revision is the expected one; 0 means that the key
// must not exist.
std::string compare_and_swap_request(std::string_view key, std::int64_t expected_mod_revision,
                                     std::string_view value, std::int64_t lease_id);
// A transaction that deletes the key.
std::string erase_request(std::string_view key);
std::string watch_request(std::string_view key, std::string_view range_end, std::int64_t start_revision);
std::string lease_grant_request(std::int64_t seconds);
std::string lease_request(std::int64_t id); // for keepalive and revoke

struct range_reply {
    std::vector<key_value> values;
    std::int64_t revision = 0;

    bool operator==(const range_reply&) const = default;
};

struct transaction_reply {
    bool succeeded = false;
    std::int64_t revision = 0;

    bool operator==(const transaction_reply&) const = default;
};

struct lease_reply {
    std::int64_t id = 0;
    std::int64_t seconds = 0; // 0: the lease no longer exists

    bool operator==(const lease_reply&) const = default;
};

// One line of a watch stream.
struct watch_message {
    bool created = false;
    bool canceled = false;
    std::int64_t compact_revision = 0;
    watch_batch batch;

    bool operator==(const watch_message&) const = default;
};

// Each parser returns no value and sets `last_failure` when the input is not a valid message of its kind.
std::optional<range_reply> parse_range_reply(std::string_view body, base::failure& last_failure);
std::optional<transaction_reply> parse_transaction_reply(std::string_view body, base::failure& last_failure);
std::optional<lease_reply> parse_lease_grant_reply(std::string_view body, base::failure& last_failure);
std::optional<lease_reply> parse_lease_keepalive_reply(std::string_view body, base::failure& last_failure);
std::optional<watch_message> parse_watch_message(std::string_view line, base::failure& last_failure);

// Returns the message of an error reply, or the start of the body when the reply has another form.
std::string error_detail(std::string_view body);

} // namespace carawayway::store::etcd_json
