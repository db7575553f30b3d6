// Merges records by their revision.
#include "carawayway/fleet/store_replica.hpp"

#include <algorithm>
#include <unordered_set>

namespace carawayway::fleet {

namespace {

std::size_t size_of(const store_record& record) {
    return record.key.size() + record.value.size();
}

} // namespace

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
                                                     store_revision revision) {
    std::vector<store_record> changes;
    std::unordered_set<std::string> listed;
    for (const auto& record : records) {
        listed.insert(record.key);
        if (apply(record)) {
            changes.push_back(record);
        }
    }
    std::vector<std::string> missing;
    for (const auto& [key, known] : m_records) {
        // The watch reports a key that changed after the listing began.
        if (!known.erased && known.revision <= revision && !listed.contains(key)) {
            missing.push_back(key);
        }
    }
    const auto erased = erase_keys(missing, revision);
    changes.insert(changes.end(), erased.begin(), erased.end());
    // Keys that were written and erased before the listing are not among the changes, so a peer whose
    // revision is older than the listing needs all records.
    m_changes_complete_from = std::max(m_changes_complete_from, revision);
    advance(revision);
    return changes;
}

std::vector<store_record> store_replica::begin_era(const std::vector<store_record>& records,
                                                   store_revision revision) {
    std::vector<store_record> changes;
    m_outdated.clear();
    for (const auto& record : records) {
        auto known = m_records.find(record.key);
        if (known != m_records.end() && is_outdated_copy(record, known->second)) {
            m_outdated[record.key] = record;
            continue;
        }
        const bool is_known_value =
            known != m_records.end() && !known->second.erased && known->second.value == record.value;
        if (is_known_value && known->second.revision < record.revision) {
            known->second.revision = record.revision;
        } else if (apply(record)) {
            changes.push_back(record);
        }
    }
    m_changes_complete_from = std::max(m_changes_complete_from, revision);
    advance(revision);
    return changes;
}

std::vector<store_record> store_replica::settle_era() {
    std::vector<store_record> changes;
    for (const auto& [key, record] : m_outdated) {
        if (apply(record)) {
            changes.push_back(record);
        }
    }
    m_outdated.clear();
    std::vector<std::string> missing;
    for (const auto& [key, known] : m_records) {
        if (!known.erased && known.revision.era < m_revision.era) {
            missing.push_back(key);
        }
    }
    const auto erased = erase_keys(missing, m_revision);
    changes.insert(changes.end(), erased.begin(), erased.end());
    return changes;
}

std::vector<store_record> store_replica::erase_keys(const std::vector<std::string>& keys,
                                                    store_revision revision) {
    std::vector<store_record> changes;
    for (const auto& key : keys) {
        changes.push_back({key, {}, revision, true});
        m_records[key] = changes.back();
        append_change(changes.back());
    }
    return changes;
}

bool store_replica::is_outdated_copy(const store_record& record, const store_record& known) const {
    const auto is_copy = [&record](const store_record& change) {
        return change.key == record.key && change.revision.era < record.revision.era && !change.erased &&
               change.revision.number == record.revision.number && change.value == record.value;
    };
    return known.revision.era < record.revision.era && !is_copy(known) &&
           std::any_of(m_changes.begin(), m_changes.end(), is_copy);
}

void store_replica::advance(store_revision revision) {
    m_revision = std::max(m_revision, revision);
}

std::optional<std::vector<store_record>> store_replica::changes_after(store_revision revision) const {
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
    m_changes_bytes += size_of(record);
    while (m_changes.size() > maximum_kept_changes ||
           (m_changes_bytes > maximum_kept_bytes && m_changes.size() > 1)) {
        drop_oldest_change();
    }
}

void store_replica::drop_oldest_change() {
    const store_record& oldest = m_changes.front();
    m_changes_complete_from = std::max(m_changes_complete_from, oldest.revision);
    const auto known = m_records.find(oldest.key);
    if (known != m_records.end() && known->second.erased && known->second.revision == oldest.revision) {
        m_records.erase(known);
    }
    m_changes_bytes -= size_of(oldest);
    m_changes.pop_front();
}

} // namespace carawayway::fleet
