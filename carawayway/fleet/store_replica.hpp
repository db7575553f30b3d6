// A replica of the store's records and their recent changes, filled by the store itself or by another
// gateway.
#pragma once

#include "carawayway/fleet/store_revision.hpp"

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
    store_revision revision; // of the store at the last change of the key
    bool erased = false;     // an erased key has no value

    bool operator==(const store_record&) const = default;
};

// A record that is older than the known one of the same key is ignored. This makes it safe to merge the pages
// of a listing that is not a snapshot, watches that repeat events, and replies of peers that lag behind.
class store_replica {
public:
    // Recent changes kept for peers that ask for those after a revision. A peer that missed more gets all
    // records.
    static constexpr std::size_t maximum_kept_changes = 512;
    // Of the keys and values of these changes. The last change is kept whatever its size.
    static constexpr std::size_t maximum_kept_bytes = 4U << 20U;

    // Merges a record; returns true when it is newer than the known one.
    bool apply(const store_record& record);

    // Merges a whole listing of the store as of `revision`. Returns the changes, including an erased record
    // for each known key that the listing lacks.
    std::vector<store_record> replace_all(const std::vector<store_record>& records, store_revision revision);

    // Merges the first listing after the store was restored from an older copy. What the store has lost stays
    // known until settle_era(), since operators and servers write it again: keys that the listing lacks, and
    // later changes of keys that it has. Returns the changes.
    std::vector<store_record> begin_era(const std::vector<store_record>& records, store_revision revision);
    // Takes over what the store has for keys that were not written again since begin_era(). Returns the
    // changes.
    std::vector<store_record> settle_era();

    // Records that all changes up to this revision of the store are known.
    void advance(store_revision revision);
    // The store's revision up to which all changes are known.
    store_revision revision() const { return m_revision; }

    // All changes after `revision`; empty when they are no longer all kept.
    std::optional<std::vector<store_record>> changes_after(store_revision revision) const;
    // All records that are not erased.
    std::vector<store_record> all() const;

    bool empty() const { return m_records.empty(); }

private:
    void append_change(const store_record& record);
    void drop_oldest_change();
    std::vector<store_record> erase_keys(const std::vector<std::string>& keys, store_revision revision);
    // Whether a record is a write of an earlier era that was followed by a known change of its key.
    bool is_outdated_copy(const store_record& record, const store_record& known) const;

    std::map<std::string, store_record>
        m_records;                      // the latest of each key; an erased one is kept as long as its change
    std::deque<store_record> m_changes; // in order of arrival
    std::size_t m_changes_bytes = 0;    // keys and values of m_changes
    std::map<std::string, store_record> m_outdated; // listed by begin_era(), but older than what is known
    store_revision m_changes_complete_from;         // changes after this revision are all in m_changes
    store_revision m_revision;
};

} // namespace carawayway::fleet
