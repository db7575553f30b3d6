// Merges records by their revision.
#include "carawayway/fleet/store_replica.hpp"

#include <algorithm>
#include <unordered_set>

namespace carawayway::fleet {

bool store_replica::apply(const store_record& record) {
    auto& known = m_records[record.key];
    if (known.revision >= record.revision) {
        return false;
    }
    known = record;
    append_change(record);
    return true;
}

std::vector<store_record> store_replica::replace_all(const std::vector<store_record>& records,
                                                     std::int64_t revision) {
    std::vector<store_record> changes;
    std::unordered_set<std::string> listed;
    for (const auto& record : records) {
        listed.insert(record.key);
        if (apply(record)) {
            changes.push_back(record);
        }
    }
    std::vector<store_record> missing;
    for (const auto& [key, known] : m_records) {
        // The watch reports a key that changed after the listing began.
        if (!known.erased && known.revision <= revision && !listed.contains(key)) {
            missing.push_back({key, {}, revision, true});
        }
    }
    for (const auto& record : missing) {
        m_records[record.key] = record;
        append_change(record);
        changes.push_back(record);
    }
    // Keys that were written and erased before the listing are not among the changes, so a peer whose
    // revision is older than the listing needs all records.
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
                 [revision](const store_record& record) { return record.revision > revision; });
    return changes;
}

std::vector<store_record> store_replica::all() const {
    std::vector<store_record> records;
    for (const auto& [key, record] : m_records) {
        if (!record.erased) {
            records.push_back(record);
        }
    }
    return records;
}

void store_replica::append_change(const store_record& record) {
    m_changes.push_back(record);
    if (m_changes.size() <= maximum_kept_changes) {
        return;
    }
    const store_record& oldest = m_changes.front();
    m_changes_complete_from = std::max(m_changes_complete_from, oldest.revision);
    const auto known = m_records.find(oldest.key);
    if (known != m_records.end() && known->second.erased && known->second.revision == oldest.revision) {
        m_records.erase(known);
    }
    m_changes.pop_front();
}

} // namespace carawayway::fleet
