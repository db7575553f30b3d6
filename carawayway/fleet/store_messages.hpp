// Calls to the store and their answers, as the product sees them. An adapter turns them into the store's
// protocol.
#pragma once

#include "carawayway/base/time.hpp"
#include "carawayway/fleet/store_replica.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace carawayway::fleet {

// One HTTP call. A body makes it a POST, unless `removes` is set.
struct store_call {
    std::string target;
    std::string body;
    enum class method : std::uint8_t { read, write, remove } verb = method::read;

    bool operator==(const store_call&) const = default;
};

enum class store_status : std::uint8_t {
    done,
    missing,    // no such key or lease
    conflict,   // a condition did not hold
    compacted,  // the history that was asked for is gone
    refused,    // the store did nothing: it is busy, down, or limits the calls
    unreadable, // the answer could not be understood
};

struct store_page {
    store_status status = store_status::unreadable;
    std::vector<store_record> items; // in a listing none is erased
    bool has_more = false;
    std::int64_t revision = 0; // of the store when it answered

    bool operator==(const store_page&) const = default;
};

struct store_lease {
    store_status status = store_status::unreadable;
    std::int64_t id = 0;
    base::duration lifetime{};

    bool operator==(const store_lease&) const = default;
};

// What a key holds.
enum class store_key_kind : std::uint8_t { other, server, configuration, evacuation, gateway };

struct store_key_subject {
    store_key_kind kind = store_key_kind::other;
    std::string name; // of the server, failure domain or gateway

    bool operator==(const store_key_subject&) const = default;
};

} // namespace carawayway::fleet
