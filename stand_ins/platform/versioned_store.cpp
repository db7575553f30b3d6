// Implements changes, delayed visibility and leases of the versioned store.
#include "stand_ins/platform/versioned_store.hpp"

#include <algorithm>
#include <utility>

namespace stand_ins {

namespace {

constexpr std::string_view delayed_prefix = "/instances/";
const std::string end_of_keys(1, '\0');

void apply(versioned_store::key_map& keys, const store_event& event) {
    if (event.type == event_type::put) {
        keys[event.key] = event.value;
    } else {
        keys.erase(event.key);
    }
}

} // namespace

bool key_range::contains(std::string_view key) const {
    if (end.empty()) {
        return key == first;
    }
    return key >= first && (end == end_of_keys || key < end);
}

versioned_store::versioned_store(event_listener on_visible) : m_on_visible(std::move(on_visible)) {}

void versioned_store::begin_change() {
    m_change.clear();
}

void versioned_store::put(const std::string& key, std::string value, std::int64_t lease_id) {
    stored_value& stored = m_current[key];
    const std::int64_t revision = m_revision + 1;
    if (stored.version == 0) {
        stored.create_revision = revision;
    }
    ++stored.version;
    stored.mod_revision = revision;
    stored.lease = lease_id;
    stored.value = std::move(value);
    m_change.push_back({event_type::put, key, stored});
}

std::int64_t versioned_store::erase(const key_range& range) {
    std::int64_t erased = 0;
    auto position = m_current.lower_bound(range.first);
    while (position != m_current.end() && range.contains(position->first)) {
        stored_value deletion;
        deletion.mod_revision = m_revision + 1;
        m_change.push_back({event_type::erased, position->first, deletion});
        position = m_current.erase(position);
        ++erased;
    }
    return erased;
}

void versioned_store::commit_change(time_point now) {
    if (m_change.empty()) {
        return;
    }
    ++m_revision;
    std::vector<store_event> visible_now;
    std::vector<store_event> delayed;
    for (store_event& event : m_change) {
        const bool is_delayed =
            m_visibility_delay > duration::zero() && event.key.starts_with(delayed_prefix);
        (is_delayed ? delayed : visible_now).push_back(std::move(event));
    }
    m_change.clear();
    if (!delayed.empty()) {
        // Keeps events in order when the delay is shortened while earlier events are still pending.
        const time_point earliest = m_delayed.empty() ? now : m_delayed.back().due;
        m_delayed.push_back({std::max(earliest, now + m_visibility_delay), std::move(delayed)});
    }
    make_visible(visible_now);
}

void versioned_store::make_visible(const std::vector<store_event>& events) {
    if (events.empty()) {
        return;
    }
    for (const store_event& event : events) {
        apply(m_visible, event);
    }
    m_visible_log.push_back(events);
    m_on_visible(events);
}

std::vector<std::vector<store_event>> versioned_store::events_since(const key_range& range,
                                                                    std::int64_t revision) const {
    std::vector<std::vector<store_event>> found;
    for (const auto& group : m_visible_log) {
        std::vector<store_event> selected;
        std::copy_if(group.begin(), group.end(), std::back_inserter(selected),
                     [&range, revision](const store_event& event) {
                         return event.value.mod_revision >= revision && range.contains(event.key);
                     });
        if (!selected.empty()) {
            found.push_back(std::move(selected));
        }
    }
    return found;
}

void versioned_store::compact(std::int64_t revision) {
    m_compacted_revision = std::min(revision, m_revision);
    std::erase_if(m_visible_log, [this](const std::vector<store_event>& group) {
        return group.front().value.mod_revision <= m_compacted_revision;
    });
}

std::int64_t versioned_store::grant_lease(std::int64_t wanted_id, duration time_to_live, time_point now) {
    const std::int64_t id = wanted_id != 0 ? wanted_id : m_next_lease++;
    m_leases[id] = {time_to_live, now + time_to_live};
    return id;
}

std::optional<duration> versioned_store::keep_lease_alive(std::int64_t id, time_point now) {
    const auto found = m_leases.find(id);
    if (found == m_leases.end()) {
        return std::nullopt;
    }
    found->second.expiry = now + found->second.time_to_live;
    return found->second.time_to_live;
}

bool versioned_store::revoke_lease(std::int64_t id, time_point now) {
    if (m_leases.erase(id) == 0) {
        return false;
    }
    std::vector<std::string> attached;
    for (const auto& [key, stored] : m_current) {
        if (stored.lease == id) {
            attached.push_back(key);
        }
    }
    begin_change();
    for (const std::string& key : attached) {
        erase({key, {}});
    }
    commit_change(now);
    return true;
}

std::optional<time_point> versioned_store::advance(time_point now) {
    while (true) {
        const auto expired = std::find_if(m_leases.begin(), m_leases.end(),
                                          [now](const auto& entry) { return entry.second.expiry <= now; });
        if (expired == m_leases.end()) {
            break;
        }
        revoke_lease(expired->first, now);
    }
    while (!m_delayed.empty() && m_delayed.front().due <= now) {
        const std::vector<store_event> events = std::move(m_delayed.front().events);
        m_delayed.pop_front();
        make_visible(events);
    }
    std::optional<time_point> next;
    const auto consider = [&next](time_point due) { next = next ? std::min(*next, due) : due; };
    if (!m_delayed.empty()) {
        consider(m_delayed.front().due);
    }
    for (const auto& [id, granted] : m_leases) {
        consider(granted.expiry);
    }
    return next;
}

} // namespace stand_ins
