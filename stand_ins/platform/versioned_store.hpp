// Versioned key-value store in memory with an event log and leases. Changes under the key prefix
// `/instances/` can be made visible to readers with a delay. Does no I/O; the caller passes the current time.
#pragma once

#include "carawayway/base/time.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace stand_ins {

using carawayway::base::duration;
using carawayway::base::time_point;

struct stored_value {
    std::int64_t create_revision = 0;
    std::int64_t mod_revision = 0;
    std::int64_t version = 0;
    std::int64_t lease = 0;
    std::string value;

    bool operator==(const stored_value&) const = default;
};

enum class event_type : std::uint8_t { put, erased };

struct store_event {
    event_type type = event_type::put;
    std::string key;
    stored_value value;

    bool operator==(const store_event&) const = default;
};

// Keys from `first` up to, but not including, `end`. An empty `end` means only the key `first`; an `end` of
// "\0" means all keys from `first` on.
struct key_range {
    std::string first;
    std::string end;

    bool contains(std::string_view key) const;
    bool operator==(const key_range&) const = default;
};

class versioned_store {
public:
    using key_map = std::map<std::string, stored_value, std::less<>>;
    using event_listener = std::function<void(const std::vector<store_event>&)>;

    // Calls the listener with the events of one revision when they become visible to readers.
    explicit versioned_store(event_listener on_visible);

    // All puts and erasures between begin_change() and commit_change() form one revision.
    void begin_change();
    void put(const std::string& key, std::string value, std::int64_t lease_id);
    std::int64_t erase(const key_range& range);
    void commit_change(time_point now);

    std::int64_t revision() const { return m_revision; }
    const key_map& current() const { return m_current; } // state that comparisons use
    const key_map& visible() const { return m_visible; } // state that reads return

    // Visible events in the range with at least this revision, grouped by revision.
    std::vector<std::vector<store_event>> events_since(const key_range& range, std::int64_t revision) const;

    // Drops the events up to and including this revision. Watches can then start only at later revisions.
    void compact(std::int64_t revision);
    std::int64_t compacted_revision() const { return m_compacted_revision; }

    void set_lag(duration lag) { m_visibility_delay = lag; }
    std::int64_t grant_lease(std::int64_t wanted_id, duration time_to_live, time_point now);
    // Renews the lease and returns its time to live. Empty when the lease does not exist.
    std::optional<duration> keep_lease_alive(std::int64_t id, time_point now);
    bool lease_exists(std::int64_t id) const { return m_leases.contains(id); }
    bool revoke_lease(std::int64_t id, time_point now);

    // Expires leases and makes delayed events visible that are due. Returns the time of the next call that is
    // needed, if any.
    std::optional<time_point> advance(time_point now);

private:
    struct lease {
        duration time_to_live{};
        time_point expiry;
    };
    struct delayed_events {
        time_point due;
        std::vector<store_event> events;
    };

    void make_visible(const std::vector<store_event>& events);

    event_listener m_on_visible;
    key_map m_current;
    key_map m_visible;                                   // m_current without the delayed events
    std::vector<std::vector<store_event>> m_visible_log; // visible events, one element per listener call
    std::deque<delayed_events> m_delayed; // events under /instances/ not yet visible, by revision
    std::vector<store_event> m_change;    // events of the current uncommitted change
    std::map<std::int64_t, lease> m_leases;
    std::int64_t m_revision = 1;
    std::int64_t m_compacted_revision = 0;
    std::int64_t m_next_lease = 1000;
    duration m_visibility_delay{};
};

} // namespace stand_ins
