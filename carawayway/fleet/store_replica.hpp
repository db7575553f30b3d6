// A copy of the store's items with the order of their changes, from the store itself or relayed by a peer.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace carawayway::fleet {

struct store_record {
    std::string key;
    std::string value;
    std::int64_t revision = 0; // of the store, at which the key changed last
    bool erased = false;       // an erased key has no value

    bool operator==(const store_record&) const = default;
};

// Revisions only rise: a fact that is older than the known one is ignored. That makes it safe to merge pages
// that are not a snapshot, a watch that repeats events, and relays of peers that lag.
class store_replica {
public:
    // Changes that are kept for peers that ask for what they missed; more are answered with the whole copy.
    static constexpr std::size_t kept_changes = 512;

    // True when the fact is news.
    bool apply(const store_record& item);

    // The whole listing of the store as of `revision`. Returns the changes, among them keys that are gone.
    std::vector<store_record> replace_all(const std::vector<store_record>& items, std::int64_t revision);

    // The store's revision up to which all changes are known.
    void advance(std::int64_t revision);
    std::int64_t revision() const { return m_revision; }

    // All changes after `revision`; nothing when they are no longer kept.
    std::optional<std::vector<store_record>> changes_after(std::int64_t revision) const;
    std::vector<store_record> all() const;

    bool empty() const { return m_items.empty(); }

private:
    void remember(const store_record& item);

    std::map<std::string, store_record>
        m_items;                        // the latest of each key, also of erased keys that are still kept
    std::deque<store_record> m_changes; // in order of arrival
    std::int64_t m_changes_complete_from = 0; // changes after this revision are all in m_changes
    std::int64_t m_revision = 0;
};

} // namespace carawayway::fleet
