// The store that holds the operators' configuration, as the rest of the program sees it.
#pragma once

#include "carawayway/base/time.hpp"
#include "carawayway/store/cancel_handle.hpp"

#include <concepts>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace carawayway::store {

struct key_value {
    std::string key;
    std::string value;
    std::int64_t mod_revision = 0; // revision of the store at which the key changed last

    bool operator==(const key_value&) const = default;
};

enum class read_outcome : std::uint8_t {
    answered,
    unavailable, // no store answered in time, or an answer was not valid
};

enum class write_outcome : std::uint8_t {
    written,
    conflict,        // not written: the key was not at the expected revision, or the lease is gone
    unavailable,     // not written: the request was not sent, or the store refused it
    outcome_unknown, // the request was sent and no complete answer came: it may take effect, even later
};

std::string_view to_string(write_outcome outcome);

struct range_result {
    read_outcome outcome = read_outcome::unavailable;
    std::vector<key_value> values;
    std::int64_t revision = 0; // of the store when it answered
    std::string detail;        // why no answer came

    bool operator==(const range_result&) const = default;
};

struct write_result {
    write_outcome outcome = write_outcome::unavailable;
    std::int64_t revision = 0; // of the written key when written, else of the store when it is known
    std::string detail;

    bool operator==(const write_result&) const = default;
};

struct lease_result {
    write_outcome outcome = write_outcome::unavailable;
    std::int64_t id = 0;
    // From the moment the store handled the call; a holder counts it from the time it made the call, which is
    // earlier.
    base::duration time_to_live{};
    std::string detail;

    bool operator==(const lease_result&) const = default;
};

enum class watch_event_kind : std::uint8_t { put, erased };

struct watch_event {
    watch_event_kind kind = watch_event_kind::put;
    key_value item; // an erased key has no value

    bool operator==(const watch_event&) const = default;
};

// Events that arrived together; all events of one revision are in one batch.
struct watch_batch {
    std::int64_t revision = 0;       // of the store when it sent the batch
    std::vector<watch_event> events; // empty in the first batch, which says that the watch is open

    bool operator==(const watch_batch&) const = default;
};

enum class watch_end : std::uint8_t {
    unavailable, // connection or store failed; watch again from the revision after the last event
    compacted,   // the start revision is no longer kept; read the range first
    expired,     // the lifetime of a watch is over; watch again
};

struct watch_closed {
    watch_end reason = watch_end::unavailable;
    std::int64_t compact_revision = 0; // oldest revision that can be watched, for `compacted`
    std::string detail;

    bool operator==(const watch_closed&) const = default;
};

using range_handler = std::function<void(range_result)>;
using write_handler = std::function<void(write_result)>;
using lease_handler = std::function<void(lease_result)>;
using watch_handler = std::function<void(watch_batch)>;
using watch_closed_handler = std::function<void(watch_closed)>;

// Handlers run on the store's executor and never inside the call that took them. An empty `range_end` means
// the one key. A store that is destroyed calls no handler any more.
template <class Store>
concept config_store = requires(Store& store, std::string text, std::int64_t number, base::duration duration,
                                range_handler on_range, write_handler on_write, lease_handler on_lease,
                                watch_handler on_event, watch_closed_handler on_closed) {
    { store.range(text, text, on_range) } -> std::same_as<void>;
    // Writes when the key's modification revision is the expected one; 0: the key must not exist. A lease ID
    // of 0 attaches no lease.
    { store.compare_and_swap(text, number, text, number, on_write) } -> std::same_as<void>;
    // The one key, whatever its revision; written also when there is no such key.
    { store.erase(text, on_write) } -> std::same_as<void>;
    // Key, range end, start revision (0: from now on). After cancel() neither handler runs.
    { store.watch(text, text, number, on_event, on_closed) } -> std::same_as<cancel_handle>;
    { store.grant_lease(duration, on_lease) } -> std::same_as<void>;
    { store.keep_lease_alive(number, on_lease) } -> std::same_as<void>;
    { store.revoke_lease(number, on_lease) } -> std::same_as<void>;
};

} // namespace carawayway::store
