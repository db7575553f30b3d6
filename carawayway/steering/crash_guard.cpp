// Strikes, isolated runs and quarantine of request content.
#include "carawayway/steering/crash_guard.hpp"

#include <algorithm>
#include <utility>

namespace carawayway::steering {

namespace {

constexpr std::uint32_t suspect_count = 1;
constexpr std::uint32_t quarantine_count = 2;

} // namespace

crash_guard::crash_guard(std::string entry, crash_guard_limits limits)
    : m_entry(std::move(entry)), m_limits(limits) {}

guard_verdict crash_guard::check(std::uint64_t fingerprint, base::time_point now) const {
    const record* known = find(fingerprint, now);
    if (known == nullptr) {
        return guard_verdict::clear;
    }
    if (known->count >= quarantine_count) {
        return guard_verdict::refuse_quarantined;
    }
    if (known->recorded_by != m_entry) {
        return guard_verdict::refuse_recorded_by_peer;
    }
    return known->running ? guard_verdict::refuse_busy : guard_verdict::run_isolated;
}

std::string crash_guard::recorder(std::uint64_t fingerprint, base::time_point now) const {
    const record* known = find(fingerprint, now);
    return known == nullptr || known->count >= quarantine_count ? std::string{} : known->recorded_by;
}

void crash_guard::begin_isolated_run(std::uint64_t fingerprint) {
    const auto found = m_records.find(fingerprint);
    if (found != m_records.end()) {
        found->second.running = true;
    }
}

void crash_guard::abandon_isolated_run(std::uint64_t fingerprint) {
    const auto found = m_records.find(fingerprint);
    if (found != m_records.end()) {
        found->second.running = false;
    }
}

std::vector<strike> crash_guard::record_server_loss(std::span<const std::uint64_t> fingerprints_in_flight,
                                                    isolation mode, base::time_point now) {
    std::vector<std::uint64_t> distinct(fingerprints_in_flight.begin(), fingerprints_in_flight.end());
    std::sort(distinct.begin(), distinct.end());
    distinct.erase(std::unique(distinct.begin(), distinct.end()), distinct.end());
    // A server that ran only this content names the culprit, isolated or not.
    const bool certain = distinct.size() == 1;
    std::vector<strike> strikes;
    for (const std::uint64_t fingerprint : distinct) {
        const record* known = find(fingerprint, now);
        const std::uint32_t before = known == nullptr ? 0 : known->count;
        const std::uint32_t count =
            certain ? std::min(before + 1, quarantine_count) : std::max(before, suspect_count);
        record* entry = find_or_insert(fingerprint, count, now);
        if (entry == nullptr) {
            continue;
        }
        entry->count = count;
        entry->expires = now + m_limits.expiry;
        entry->own_strike = true;
        if (mode == isolation::isolated) {
            entry->running = false;
        }
        strikes.push_back({fingerprint, entry->count, entry->recorded_by});
    }
    return strikes;
}

std::optional<strike> crash_guard::record_answer(std::uint64_t fingerprint, base::time_point now) {
    const record* known = find(fingerprint, now);
    if (known == nullptr || known->count >= quarantine_count || known->recorded_by != m_entry) {
        return std::nullopt;
    }
    strike cleared{fingerprint, known->count, known->recorded_by};
    m_records.erase(fingerprint);
    return cleared;
}

// Entries that recorded the same content independently agree on one recorder: the higher count wins, then
// the lower name.
void crash_guard::merge(const strike& received, base::time_point now) {
    if (received.count == 0) {
        return;
    }
    const std::uint32_t count = std::min(received.count, quarantine_count);
    const record* known = find(received.fingerprint, now);
    const bool fresh = known == nullptr;
    record* entry = find_or_insert(received.fingerprint, count, now);
    if (entry == nullptr) {
        return;
    }
    if (fresh || count > entry->count ||
        (count == entry->count && received.recorded_by < entry->recorded_by)) {
        entry->recorded_by = received.recorded_by;
    }
    entry->count = std::max(entry->count, count);
    entry->expires = now + m_limits.expiry;
}

std::vector<strike> crash_guard::records(base::time_point now) const {
    std::vector<strike> result;
    for (const auto& [fingerprint, known] : m_records) {
        if (known.expires > now) {
            result.push_back({fingerprint, known.count, known.recorded_by});
        }
    }
    return result;
}

void crash_guard::clear(std::uint64_t fingerprint, std::string_view recorded_by) {
    const auto found = m_records.find(fingerprint);
    if (found == m_records.end() || found->second.count >= quarantine_count ||
        found->second.recorded_by != recorded_by) {
        return;
    }
    if (found->second.own_strike && recorded_by != m_entry) {
        // This entry lost a server to the content as well, and peers may hold its record.
        found->second.recorded_by = m_entry;
        return;
    }
    m_records.erase(found);
}

base::duration crash_guard::retry_after(std::uint64_t fingerprint, base::time_point now) const {
    const record* known = find(fingerprint, now);
    if (known == nullptr) {
        return base::duration::zero();
    }
    const base::duration remaining = known->expires - now;
    switch (check(fingerprint, now)) {
    case guard_verdict::clear:
        return base::duration::zero();
    case guard_verdict::refuse_quarantined:
        return remaining;
    case guard_verdict::refuse_recorded_by_peer:
        return std::min(remaining, m_limits.elsewhere_retry);
    case guard_verdict::run_isolated:
    case guard_verdict::refuse_busy:
        break;
    }
    return std::min(remaining, m_limits.busy_retry);
}

const crash_guard::record* crash_guard::find(std::uint64_t fingerprint, base::time_point now) const {
    const auto found = m_records.find(fingerprint);
    if (found == m_records.end() || found->second.expires <= now) {
        return nullptr;
    }
    return &found->second;
}

crash_guard::record* crash_guard::find_or_insert(std::uint64_t fingerprint, std::uint32_t count,
                                                 base::time_point now) {
    const auto found = m_records.find(fingerprint);
    if (found != m_records.end()) {
        if (found->second.expires <= now) {
            found->second = record{0, m_entry, now, false, false};
        }
        return &found->second;
    }
    if (m_records.size() >= m_limits.capacity && !make_room(count, now)) {
        return nullptr;
    }
    return &m_records.emplace(fingerprint, record{0, m_entry, now, false, false}).first->second;
}

// Expired records go first, then the suspect that expires next. Quarantined records make room only for
// another quarantined one.
bool crash_guard::make_room(std::uint32_t count, base::time_point now) {
    std::erase_if(m_records, [now](const auto& item) { return item.second.expires <= now; });
    if (m_records.size() < m_limits.capacity) {
        return true;
    }
    auto victim = m_records.end();
    for (auto item = m_records.begin(); item != m_records.end(); ++item) {
        if (item->second.count >= quarantine_count && count < quarantine_count) {
            continue;
        }
        const auto key = [](const record& value) { return std::pair(value.count, value.expires); };
        if (victim == m_records.end() || key(item->second) < key(victim->second)) {
            victim = item;
        }
    }
    if (victim == m_records.end()) {
        return false;
    }
    m_records.erase(victim);
    return true;
}

} // namespace carawayway::steering
