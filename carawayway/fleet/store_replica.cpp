// Merging of facts by revision.
#include "carawayway/fleet/store_replica.hpp"

#include <algorithm>
#include <unordered_set>

namespace carawayway::fleet {

bool store_replica::apply(const store_record& item) {
    auto& known = m_items[item.key];
    if (known.revision >= item.revision) {
        return false;
    }
    known = item;
    remember(item);
    return true;
}

std::vector<store_record> store_replica::replace_all(const std::vector<store_record>& items,
                                                     std::int64_t revision) {
    std::vector<store_record> changes;
    std::unordered_set<std::string> listed;
    for (const auto& item : items) {
        listed.insert(item.key);
        if (apply(item)) {
            changes.push_back(item);
        }
    }
    std::vector<store_record> gone;
    for (const auto& [key, known] : m_items) {
        // A key that changed after the listing began is left to the watch.
        if (!known.erased && known.revision <= revision && !listed.contains(key)) {
            gone.push_back({key, {}, revision, true});
        }
    }
    for (const auto& item : gone) {
        m_items[item.key] = item;
        remember(item);
        changes.push_back(item);
    }
    // Keys that were written and erased before the listing are not among the changes, so that a peer that is
    // behind it needs the whole listing.
    m_changes_complete_from = std::max(m_changes_complete_from, revision);
    advance(revision);
    return changes;
}

void store_replica::advance(std::int64_t revision) {
    m_revision = std::max(m_revision, revision);
}

std::optional<std::vector<store_record>> store_replica::changes_after(std::int64_t revision) const {
    if (revision < m_changes_complete_from) {
        return std::nullopt;
    }
    std::vector<store_record> changes;
    std::copy_if(m_changes.begin(), m_changes.end(), std::back_inserter(changes),
                 [revision](const store_record& item) { return item.revision > revision; });
    return changes;
}

std::vector<store_record> store_replica::all() const {
    std::vector<store_record> items;
    for (const auto& [key, item] : m_items) {
        if (!item.erased) {
            items.push_back(item);
        }
    }
    return items;
}

void store_replica::remember(const store_record& item) {
    m_changes.push_back(item);
    if (m_changes.size() <= kept_changes) {
        return;
    }
    const store_record& oldest = m_changes.front();
    m_changes_complete_from = std::max(m_changes_complete_from, oldest.revision);
    const auto known = m_items.find(oldest.key);
    if (known != m_items.end() && known->second.erased && known->second.revision == oldest.revision) {
        m_items.erase(known);
    }
    m_changes.pop_front();
}

} // namespace carawayway::fleet
