// A replica of the store's records and their recent changes, filled by the store itself or by another
// gateway.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace carawayway::fleet {

// A key of the store with its value and revision.
struct store_record {
    std::string key;
    std::string value;
    std::int64_t revision = 0; // of the store at the last change of the key
    bool erased = false;       // an erased key has no value

    bool operator==(const store_record&) const = default;
};

// A record that is older than the known one of the same key is ignored. This makes it safe to merge the pages
// of a listing that is not a snapshot, watches that repeat events, and replies of peers that lag behind.
class store_replica {
public:
    // Recent changes kept for peers that ask for those after a revision. A peer that missed more gets all
    // records.
    static constexpr std::size_t maximum_kept_changes = 512;

    // Merges a record; returns true when it is newer than the known one.
    bool apply(const store_record& record);

    // Merges a whole listing of the store as of `revision`. Returns the changes, including an erased record
    // for each known key that the listing lacks.
    std::vector<store_record> replace_all(const std::vector<store_record>& records, std::int64_t revision);

    // Records that all changes up to this revision of the store are known.
    void advance(std::int64_t revision);
    // The store's revision up to which all changes are known.
    std::int64_t revision() const { return m_revision; }

    // All changes after `revision`; empty when they are no longer all kept.
    std::optional<std::vector<store_record>> changes_after(std::int64_t revision) const;
    // All records that are not erased.
    std::vector<store_record> all() const;

    bool empty() const { return m_records.empty(); }

private:
    void append_change(const store_record& record);

    std::map<std::string, store_record>
        m_records;                      // the latest of each key; an erased one is kept as long as its change
    std::deque<store_record> m_changes; // in order of arrival
    std::int64_t m_changes_complete_from = 0; // changes after this revision are all in m_changes
    std::int64_t m_revision = 0;
};

} // namespace carawayway::fleet
