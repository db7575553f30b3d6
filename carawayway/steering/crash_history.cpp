// Counts of lost servers for each request content.
#include "carawayway/steering/crash_history.hpp"

#include <algorithm>
#include <bit>
#include <tuple>

namespace carawayway::steering {

std::uint32_t crash_history::losses(std::uint64_t fingerprint, base::time_point now) const {
    const auto* const known = find_unexpired(fingerprint, now);
    return known == nullptr ? 0 : known->losses;
}

std::uint32_t crash_history::unexcused_losses(std::uint64_t fingerprint, base::time_point now) const {
    const auto* const known = find_unexpired(fingerprint, now);
    return known == nullptr ? 0 : known->unexcused();
}

crash_suspicion crash_history::suspicion(std::uint64_t fingerprint, base::time_point now) const {
    const auto* const known = find_unexpired(fingerprint, now);
    if (known == nullptr) {
        return crash_suspicion::none;
    }
    return known->is_quarantined() ? crash_suspicion::quarantined : crash_suspicion::suspected;
}

base::duration crash_history::quarantine_left(std::uint64_t fingerprint, base::time_point now) const {
    const auto* const known = find_unexpired(fingerprint, now);
    return known == nullptr || !known->is_quarantined() ? base::duration::zero() : known->expires - now;
}

void crash_history::record_loss(std::uint64_t fingerprint, std::uint32_t losses_when_sent,
                                base::time_point now) {
    const auto known_losses = losses(fingerprint, now);
    if (known_losses <= losses_when_sent) {
        raise(fingerprint, known_losses + 1, now);
        return;
    }
    m_records.at(fingerprint).expires = now + m_limits.expiry;
}

bool crash_history::record_answer(std::uint64_t fingerprint, std::uint32_t answers_that_clear) {
    const auto found = m_records.find(fingerprint);
    if (found == m_records.end() || found->second.is_quarantined()) {
        return false;
    }
    if (++found->second.answers < answers_that_clear) {
        return false;
    }
    m_records.erase(found);
    return true;
}

bool crash_history::add_answers(std::uint64_t fingerprint, variant_set answered,
                                std::uint32_t answers_that_clear, base::time_point now) {
    if (find_unexpired(fingerprint, now) == nullptr) {
        return false;
    }
    auto& known = m_records.at(fingerprint);
    known.answered_since |= answered;
    const bool is_cleared =
        !known.is_quarantined() &&
        static_cast<std::uint32_t>(std::popcount(known.answered_since)) >= answers_that_clear;
    if (is_cleared) {
        m_records.erase(fingerprint);
    }
    return is_cleared;
}

variant_set crash_history::answered_since(std::uint64_t fingerprint, base::time_point now) const {
    const auto* const known = find_unexpired(fingerprint, now);
    return known == nullptr ? 0 : known->answered_since;
}

base::duration crash_history::trial_interval(std::uint32_t unexcused_losses) {
    return unexcused_losses < quarantine_losses + maximum_losses_in_trials ? shortest_trial_interval
                                                                           : crash_history_limits{}.expiry;
}

void crash_history::excuse(std::uint64_t fingerprint, std::uint32_t excused, base::time_point now) {
    if (find_unexpired(fingerprint, now) != nullptr) {
        auto& known = m_records.at(fingerprint);
        known.excused = std::max(known.excused, excused);
    }
}

bool crash_history::release(const crash_count& released, base::time_point now) {
    if (losses(released.fingerprint, now) < released.losses) {
        raise(released.fingerprint, released.losses, now);
    }
    const auto found = m_records.find(released.fingerprint);
    const bool is_lifted = found != m_records.end() && found->second.is_quarantined() &&
                           found->second.unexcused() <= released.losses;
    if (is_lifted) {
        found->second.is_released = true;
        found->second.answers = 0;
        found->second.excused_before_release += excused_losses(found->second.answered_since);
        found->second.answered_since = 0;
    }
    return is_lifted;
}

bool crash_history::merge(const crash_count& received, base::time_point now) {
    if (received.losses == 0) {
        record_answer(received.fingerprint);
        return false;
    }
    const auto known_losses = losses(received.fingerprint, now);
    if (received.losses <= known_losses) {
        return false;
    }
    const auto before = suspicion(received.fingerprint, now);
    raise(received.fingerprint, received.losses, now);
    return before != crash_suspicion::quarantined &&
           suspicion(received.fingerprint, now) == crash_suspicion::quarantined;
}

const crash_history::record* crash_history::find_unexpired(std::uint64_t fingerprint,
                                                           base::time_point now) const {
    const auto found = m_records.find(fingerprint);
    return found == m_records.end() || found->second.expires <= now ? nullptr : &found->second;
}

void crash_history::raise(std::uint64_t fingerprint, std::uint32_t losses, base::time_point now) {
    if (!m_records.contains(fingerprint) && m_records.size() >= m_limits.capacity) {
        make_room(now);
    }
    auto& raised = m_records[fingerprint];
    if (raised.expires <= now) {
        raised = {};
    }
    if (raised.is_released) {
        raised.answers = 0;
    }
    raised.is_released = false;
    raised.losses = std::min(losses, maximum_losses);
    raised.expires = now + m_limits.expiry;
}

// Removes expired records, or else the one with the fewest losses that expires next.
void crash_history::make_room(base::time_point now) {
    std::erase_if(m_records, [now](const auto& item) { return item.second.expires <= now; });
    if (m_records.size() < m_limits.capacity) {
        return;
    }
    const auto evicted =
        std::min_element(m_records.begin(), m_records.end(), [](const auto& left, const auto& right) {
            return std::tie(left.second.losses, left.second.expires) <
                   std::tie(right.second.losses, right.second.expires);
        });
    m_records.erase(evicted);
}

} // namespace carawayway::steering
