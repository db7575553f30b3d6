// Versioned key-value data with an event log, leases, and key prefix `/instances/` that is served with a lag.
// Pure: time is passed in.
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

// Keys from `first` up to but without `end`. An empty end means the one key, "\0" all keys from `first` on.
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

    // The listener gets the events of one revision when they become visible to readers.
    explicit versioned_store(event_listener on_visible);

    // A change is one revision however many keys it touches.
    void begin_change();
    void put(const std::string& key, std::string value, std::int64_t lease_id);
    std::int64_t erase(const key_range& range);
    void commit_change(time_point now);

    std::int64_t revision() const { return m_revision; }
    const key_map& current() const { return m_current; } // what comparisons see
    const key_map& visible() const { return m_visible; } // what reads see

    // Visible events of one range from a revision on, grouped by revision.
    std::vector<std::vector<store_event>> events_since(const key_range& range, std::int64_t revision) const;

    // Drops the events up to this revision; watches cannot start before it any more.
    void compact(std::int64_t revision);
    std::int64_t compacted_revision() const { return m_compacted; }

    void set_lag(duration lag) { m_lag = lag; }
    std::int64_t grant_lease(std::int64_t wanted_id, duration time_to_live, time_point now);
    // The lease's time to live; empty when the lease is gone.
    std::optional<duration> keep_lease_alive(std::int64_t id, time_point now);
    bool lease_exists(std::int64_t id) const { return m_leases.contains(id); }
    bool revoke_lease(std::int64_t id, time_point now);

    // Ends leases and shows events that are due. Returns when it must be called next.
    std::optional<time_point> advance(time_point now);

private:
    struct lease {
        duration time_to_live{};
        time_point expiry;
    };
    struct hidden_events {
        time_point due;
        std::vector<store_event> events;
    };

    void show(const std::vector<store_event>& events);

    event_listener m_on_visible;
    key_map m_current;
    key_map m_visible;                           // m_current without the hidden events
    std::vector<std::vector<store_event>> m_log; // visible events, one element per shown group
    std::deque<hidden_events> m_hidden; // events under /instances/ that are not visible yet, in order
    std::vector<store_event> m_change;  // events of the open change
    std::map<std::int64_t, lease> m_leases;
    std::int64_t m_revision = 1;
    std::int64_t m_compacted = 0;
    std::int64_t m_next_lease = 1000;
    duration m_lag{};
};

} // namespace stand_ins
