// Interface to the key-value store that holds the operators' configuration.
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
    std::int64_t mod_revision = 0; // store revision of the last change to the key

    bool operator==(const key_value&) const = default;
};

enum class read_outcome : std::uint8_t {
    answered,
    unavailable, // no store responded in time, or the response was invalid
};

enum class write_outcome : std::uint8_t {
    written,
    conflict,        // not written: the key was not at the expected revision, or the lease no longer exists
    unavailable,     // not written: the request was not sent, or the store refused it
    outcome_unknown, // the request was sent, but no complete response arrived: it may take effect, even later
};

std::string_view to_string(write_outcome outcome);

struct range_result {
    read_outcome outcome = read_outcome::unavailable;
    std::vector<key_value> values;
    std::int64_t revision = 0; // of the store at the time of the response
    std::string detail;        // why the read failed

    bool operator==(const range_result&) const = default;
};

struct write_result {
    write_outcome outcome = write_outcome::unavailable;
    std::int64_t revision = 0; // of the key when written; otherwise of the store, or 0 when unknown
    std::string detail;

    bool operator==(const write_result&) const = default;
};

struct lease_result {
    write_outcome outcome = write_outcome::unavailable;
    std::int64_t id = 0;
    // Starts when the store handles the call. The holder must count from the time at which it made the call,
    // which is earlier.
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

// Events that arrived together. All events of one revision are in the same batch.
struct watch_batch {
    std::int64_t revision = 0;       // of the store at the time of the batch
    std::vector<watch_event> events; // empty in the first batch, which reports that the watch is open

    bool operator==(const watch_batch&) const = default;
};

enum class watch_end : std::uint8_t {
    unavailable, // connection or store failed; resume after the revision of the last event
    compacted,   // the store no longer keeps the start revision; read the range before watching again
    expired,     // the watch reached its maximum lifetime; watch again
};

struct watch_closed {
    watch_end reason = watch_end::unavailable;
    std::int64_t compact_revision = 0; // for `compacted`: the oldest revision that can be watched
    std::string detail;

    bool operator==(const watch_closed&) const = default;
};

using range_handler = std::function<void(range_result)>;
using write_handler = std::function<void(write_result)>;
using lease_handler = std::function<void(lease_result)>;
using watch_handler = std::function<void(watch_batch)>;
using watch_closed_handler = std::function<void(watch_closed)>;

// Handlers run on the store's executor, never inside the call that they are passed to, and never after the
// store is destroyed. An empty `range_end` selects the single key.
template <class Store>
concept config_store = requires(Store& store, std::string text, std::int64_t number, base::duration duration,
                                range_handler on_range, write_handler on_write, lease_handler on_lease,
                                watch_handler on_event, watch_closed_handler on_closed) {
    { store.range(text, text, on_range) } -> std::same_as<void>;
    // Arguments: key, expected modification revision, value, lease ID. Writes only if the key is at the
    // expected revision; 0 means that the key must not exist. A lease ID of 0 attaches no lease.
    { store.compare_and_swap(text, number, text, number, on_write) } -> std::same_as<void>;
    // Deletes the key regardless of its revision. The outcome is `written` even if the key did not exist.
    { store.erase(text, on_write) } -> std::same_as<void>;
    // Arguments: key, range end, start revision (0: from now on). After cancel() neither handler is called.
    { store.watch(text, text, number, on_event, on_closed) } -> std::same_as<cancel_handle>;
    { store.grant_lease(duration, on_lease) } -> std::same_as<void>;
    { store.keep_lease_alive(number, on_lease) } -> std::same_as<void>;
    { store.revoke_lease(number, on_lease) } -> std::same_as<void>;
};

} // namespace carawayway::store
