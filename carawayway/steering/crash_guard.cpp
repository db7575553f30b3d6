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
    const record* known = find_unexpired(fingerprint, now);
    if (known == nullptr) {
        return guard_verdict::clear;
    }
    if (known->count >= quarantine_count) {
        return guard_verdict::refuse_quarantined;
    }
    if (known->recorded_by != m_entry) {
        return guard_verdict::refuse_recorded_by_peer;
    }
    return known->isolated_run_in_flight ? guard_verdict::refuse_busy : guard_verdict::run_isolated;
}

std::string crash_guard::recorder(std::uint64_t fingerprint, base::time_point now) const {
    const record* known = find_unexpired(fingerprint, now);
    return known == nullptr || known->count >= quarantine_count ? std::string{} : known->recorded_by;
}

void crash_guard::begin_isolated_run(std::uint64_t fingerprint) {
    const auto found = m_records.find(fingerprint);
    if (found != m_records.end()) {
        found->second.isolated_run_in_flight = true;
    }
}

void crash_guard::abandon_isolated_run(std::uint64_t fingerprint) {
    const auto found = m_records.find(fingerprint);
    if (found != m_records.end()) {
        found->second.isolated_run_in_flight = false;
    }
}

std::vector<strike> crash_guard::record_server_loss(std::span<const std::uint64_t> fingerprints_in_flight,
                                                    isolation mode, base::time_point now) {
    std::vector<std::uint64_t> distinct(fingerprints_in_flight.begin(), fingerprints_in_flight.end());
    std::sort(distinct.begin(), distinct.end());
    distinct.erase(std::unique(distinct.begin(), distinct.end()), distinct.end());
    // If the server ran only one content, that content caused the loss, in an isolated run or not.
    const bool cause_is_known = distinct.size() == 1;
    std::vector<strike> strikes;
    for (const std::uint64_t fingerprint : distinct) {
        const record* known = find_unexpired(fingerprint, now);
        const std::uint32_t previous_count = known == nullptr ? 0 : known->count;
        const std::uint32_t count = cause_is_known ? std::min(previous_count + 1, quarantine_count)
                                                   : std::max(previous_count, suspect_count);
        record* stored = find_or_insert(fingerprint, count, now);
        if (stored == nullptr) {
            continue;
        }
        stored->count = count;
        stored->expires = now + m_limits.expiry;
        stored->has_own_strike = true;
        if (mode == isolation::isolated) {
            stored->isolated_run_in_flight = false;
        }
        strikes.push_back({fingerprint, stored->count, stored->recorded_by});
    }
    return strikes;
}

std::optional<strike> crash_guard::record_answer(std::uint64_t fingerprint, base::time_point now) {
    const record* known = find_unexpired(fingerprint, now);
    if (known == nullptr || known->count >= quarantine_count || known->recorded_by != m_entry) {
        return std::nullopt;
    }
    strike cleared{fingerprint, known->count, known->recorded_by};
    m_records.erase(fingerprint);
    return cleared;
}

// Entry instances that recorded the same content independently agree on one recorder: the one with the higher
// count, then the one whose name sorts first.
void crash_guard::merge(const strike& received, base::time_point now) {
    if (received.count == 0) {
        return;
    }
    const std::uint32_t count = std::min(received.count, quarantine_count);
    const record* known = find_unexpired(received.fingerprint, now);
    const bool is_new = known == nullptr;
    record* stored = find_or_insert(received.fingerprint, count, now);
    if (stored == nullptr) {
        return;
    }
    if (is_new || count > stored->count ||
        (count == stored->count && received.recorded_by < stored->recorded_by)) {
        stored->recorded_by = received.recorded_by;
    }
    stored->count = std::max(stored->count, count);
    stored->expires = now + m_limits.expiry;
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
    if (found->second.has_own_strike && recorded_by != m_entry) {
        // This entry also lost a server with this content in flight, and peers may hold its record.
        found->second.recorded_by = m_entry;
        return;
    }
    m_records.erase(found);
}

base::duration crash_guard::retry_after(std::uint64_t fingerprint, base::time_point now) const {
    const record* known = find_unexpired(fingerprint, now);
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
        return std::min(remaining, m_limits.peer_retry_after);
    case guard_verdict::run_isolated:
    case guard_verdict::refuse_busy:
        break;
    }
    return std::min(remaining, m_limits.busy_retry_after);
}

const crash_guard::record* crash_guard::find_unexpired(std::uint64_t fingerprint,
                                                       base::time_point now) const {
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

// Evicts expired records first, then the suspect that expires next. A quarantined record is evicted only for
// another quarantined one.
bool crash_guard::make_room(std::uint32_t count, base::time_point now) {
    std::erase_if(m_records, [now](const auto& item) { return item.second.expires <= now; });
    if (m_records.size() < m_limits.capacity) {
        return true;
    }
    auto evicted = m_records.end();
    for (auto item = m_records.begin(); item != m_records.end(); ++item) {
        if (item->second.count >= quarantine_count && count < quarantine_count) {
            continue;
        }
        const auto key = [](const record& value) { return std::pair(value.count, value.expires); };
        if (evicted == m_records.end() || key(item->second) < key(evicted->second)) {
            evicted = item;
        }
    }
    if (evicted == m_records.end()) {
        return false;
    }
    m_records.erase(evicted);
    return true;
}

} // namespace carawayway::steering
