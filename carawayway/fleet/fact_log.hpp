// A copy of the store's items with the order of their changes, from the store itself or relayed by a peer.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace carawayway::fleet {

struct fact {
    std::string key;
    std::string value;
    std::int64_t revision = 0; // of the store, at which the key changed last
    bool erased = false;       // an erased key has no value

    bool operator==(const fact&) const = default;
};

// Revisions only rise: a fact that is older than the known one is ignored. That makes it safe to merge pages
// that are not a snapshot, a watch that repeats events, and relays of peers that lag.
class fact_log {
public:
    // Changes that are kept for peers that ask for what they missed; more are answered with the whole copy.
    static constexpr std::size_t kept_changes = 512;

    // True when the fact is news.
    bool apply(const fact& item);

    // The whole listing of the store as of `revision`. Returns the changes, among them keys that are gone.
    std::vector<fact> replace_all(const std::vector<fact>& items, std::int64_t revision);

    // The store's revision up to which all changes are known.
    void advance(std::int64_t revision);
    std::int64_t revision() const { return m_revision; }

    // All changes after `revision`; nothing when they are no longer kept.
    std::optional<std::vector<fact>> changes_after(std::int64_t revision) const;
    std::vector<fact> all() const;

    bool empty() const { return m_items.empty(); }

private:
    void remember(const fact& item);

    std::map<std::string, fact> m_items; // the latest of each key, also of erased keys that are still kept
    std::deque<fact> m_changes;          // in order of arrival
    std::int64_t m_changes_complete_from = 0; // changes after this revision are all in m_changes
    std::int64_t m_revision = 0;
};

} // namespace carawayway::fleet
