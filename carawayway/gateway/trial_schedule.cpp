// Deferred trials, claims and permits.
#include "carawayway/gateway/trial_schedule.hpp"

#include "carawayway/steering/crash_history.hpp"

namespace carawayway::gateway {

void trial_schedule::defer(std::uint64_t fingerprint, base::time_point until, base::time_point now) {
    std::erase_if(m_deferred_until, [now](const auto& item) { return item.second <= now; });
    m_deferred_until[fingerprint] = until;
}

bool trial_schedule::is_deferred(std::uint64_t fingerprint, base::time_point now) const {
    const auto deferred = m_deferred_until.find(fingerprint);
    return deferred != m_deferred_until.end() && now < deferred->second;
}

void trial_schedule::set_store_key(std::uint64_t fingerprint, bool is_present, base::time_point now) {
    std::erase_if(m_store_keys, [now](const auto& item) {
        return now - item.second >= steering::crash_history_limits{}.expiry;
    });
    if (is_present) {
        m_store_keys[fingerprint] = now;
    } else {
        m_store_keys.erase(fingerprint);
    }
}

bool trial_schedule::is_available(std::uint64_t fingerprint, base::duration interval,
                                  base::time_point now) const {
    const auto own = m_claims.find(fingerprint);
    if (own != m_claims.end() && now < own->second.ends) {
        return own->second.permit.expired();
    }
    const auto key = m_store_keys.find(fingerprint);
    return key == m_store_keys.end() || now - key->second >= interval;
}

void trial_schedule::add_claim(std::uint64_t fingerprint, base::time_point ends, base::time_point now) {
    std::erase_if(m_claims, [now](const auto& item) { return item.second.ends <= now; });
    m_claims[fingerprint] = {ends, {}};
}

trial_permit trial_schedule::take_permit(std::uint64_t fingerprint, base::time_point now) {
    const auto own = m_claims.find(fingerprint);
    if (own == m_claims.end() || now >= own->second.ends || !own->second.permit.expired()) {
        return nullptr;
    }
    auto permit = std::make_shared<const std::uint64_t>(fingerprint);
    own->second.permit = permit;
    return permit;
}

} // namespace carawayway::gateway
