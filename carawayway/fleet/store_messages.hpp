// Calls to the store and their answers, independent of the store's protocol. An adapter translates them.
#pragma once

#include "carawayway/base/time.hpp"
#include "carawayway/fleet/store_replica.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace carawayway::fleet {

// One HTTP call: GET to read, POST to write and DELETE to remove.
struct store_call {
    std::string target;
    std::string body;
    enum class method : std::uint8_t { read, write, remove } verb = method::read;

    bool operator==(const store_call&) const = default;
};

enum class store_status : std::uint8_t {
    done,
    missing,    // no such key or lease
    conflict,   // a condition of a transaction did not hold
    compacted,  // the requested history was compacted
    refused,    // not executed: the store is busy, down or limits the rate of calls
    unreadable, // the answer could not be parsed
};

// One page of a listing, or the events of a watch.
struct store_page {
    store_status status = store_status::unreadable;
    std::vector<store_record> items; // in a listing, none is erased
    bool has_more = false;
    store_revision revision; // of the store at the time of the answer

    bool operator==(const store_page&) const = default;
};

struct transaction_result {
    store_status status = store_status::unreadable;
    store_revision revision; // of the store after the write

    bool operator==(const transaction_result&) const = default;
};

struct store_lease {
    store_status status = store_status::unreadable;
    std::int64_t id = 0;
    base::duration lifetime{};

    bool operator==(const store_lease&) const = default;
};

// The type of data that a key holds.
enum class store_key_kind : std::uint8_t {
    other,
    server,
    configuration,
    evacuation,
    gateway,
    quarantine,
    quarantine_trial,
    answered_content,
    permit
};

// What a key is about.
struct store_key_subject {
    store_key_kind kind = store_key_kind::other;
    // Of the server, failure domain or gateway; the fingerprint of quarantined or answered content, also for
    // its trial; SERVER/NUMBER of a permit.
    std::string name;

    bool operator==(const store_key_subject&) const = default;
};

} // namespace carawayway::fleet
