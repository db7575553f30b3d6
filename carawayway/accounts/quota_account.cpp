// Grants, reports and the time without an owner.
#include "carawayway/accounts/quota_account.hpp"

#include "carawayway/accounts/quota_bucket.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace carawayway::accounts {

namespace {

// Requests that are admitted ahead of the share, while the owner is silent and has told of unused quota: a
// small share leaves no room for two requests at the same time.
constexpr double longest_silent_advance = 3.0;

// Requests that a share may save up while the owner is silent, at least.
constexpr double least_silent_burst = 3.0;

// Multiples of it are evenly spread over the fractions of 1, however many there are.
constexpr double golden_ratio = 0.618033988749895;

// Nothing is remembered of an account that was not used for this long.
constexpr base::duration idle_memory = std::chrono::seconds{20};

base::duration from_seconds(double seconds) {
    return std::chrono::duration_cast<base::duration>(std::chrono::duration<double>(seconds));
}

} // namespace

quota_account::quota_account(std::string name, routing::request_quota quota) : m_name(std::move(name)) {
    set_quota(quota);
}

void quota_account::set_quota(const routing::request_quota& quota) {
    const double previous_burst = m_quota.burst;
    m_quota = with_room_for_one(quota);
    if (m_quota.burst < previous_burst) {
        m_held *= m_quota.burst / previous_burst;
        m_advance *= m_quota.burst / previous_burst;
    }
}

quota_decision quota_account::try_admit(double initial_share, base::time_point now) {
    if (now - m_last_arrival > grant_lifetime) {
        m_refunded = 0.0;
    }
    m_demand.record(now);
    m_last_arrival = now;
    m_has_idle_report = false;
    if (m_share <= 0.0) {
        m_share = initial_share;
    }
    expire_grants(now);
    refill_without_owner(now);
    if (m_refunded >= 1.0) {
        m_refunded -= 1.0;
        return {true, {}};
    }
    if (m_held + advance(initial_share, now) < 1.0) {
        return {false, time_until_room(now)};
    }
    m_held -= 1.0;
    m_spent += 1.0;
    return {true, {}};
}

void quota_account::refund() {
    m_refunded = std::min(m_quota.burst, m_refunded + 1.0);
}

double quota_account::advance(double initial_share, base::time_point now) {
    if (is_owner_silent(now)) {
        return std::min(m_advance, longest_silent_advance);
    }
    if (m_replied_at && now - *m_replied_at < reply_lifetime) {
        return m_advance;
    }
    // A gateway that rarely gets requests of the account has no grant when one arrives.
    const bool is_demand_known = m_replied_at && now - *m_replied_at < demand_lifetime;
    if (is_demand_known && m_admitted_part < 1.0) {
        m_admitted_sum += m_admitted_part;
        const bool is_admitted = m_admitted_sum >= 1.0;
        m_admitted_sum -= is_admitted ? 1.0 : 0.0;
        return is_admitted ? 1.0 : 0.0;
    }
    return std::max(1.0, m_quota.burst * initial_share);
}

void quota_account::expire_grants(base::time_point now) {
    if (now >= m_grant_ends_at && !is_owner_silent(now)) {
        m_held = std::min(m_held, 0.0);
    }
}

bool quota_account::is_owner_silent(base::time_point now) const {
    return m_unanswered_since && now - *m_unanswered_since > silence;
}

void quota_account::refill_without_owner(base::time_point now) {
    const double elapsed = base::to_seconds(now - std::exchange(m_refilled_at, now));
    if (!is_owner_silent(now)) {
        return;
    }
    const bool may_be_replaced = now - *m_unanswered_since > long_silence;
    const bool was_short = m_advance < 1.0;
    const double share = m_share * (may_be_replaced && was_short ? long_silence_part : 1.0);
    const double most = std::max(least_silent_burst, m_quota.burst * share);
    m_held = std::min(most, m_held + m_quota.requests_per_second * share * elapsed);
}

// Each rejected caller is told to return when there is room for one more, so that they do not return
// together.
base::duration quota_account::time_until_room(base::time_point now) {
    const double rate = std::max(m_quota.requests_per_second * m_share, 1.0);
    const auto next = std::max(m_next_room, now) + from_seconds(1.0 / rate);
    if (next <= now + longest_retry_after) {
        m_next_room = next;
        return next - now;
    }
    // More callers than there will be room for: they are spread over the second half of the time.
    const double position = std::fmod(golden_ratio * ++m_rejected_without_room, 1.0);
    return from_seconds(base::to_seconds(longest_retry_after) * (1.0 + position) / 2.0);
}

double quota_account::wanted(base::time_point now) const {
    return m_demand.per_second(now) * base::to_seconds(granted_time);
}

bool quota_account::is_report_due(base::time_point now) const {
    if (!m_reported_at) {
        return !m_has_idle_report;
    }
    const auto since = now - *m_reported_at;
    if (m_unanswered_since) {
        return since >= reply_timeout && !m_has_idle_report;
    }
    const bool has_ended = now - m_last_arrival >= usual_report_interval;
    if (m_has_idle_report || has_ended) {
        return !m_has_idle_report;
    }
    const bool runs_out = m_held < wanted(now) / 2.0 || m_held + m_advance < 1.0;
    return since >= (runs_out ? shortest_report_interval : usual_report_interval);
}

account_usage quota_account::report(base::time_point now) {
    expire_grants(now);
    const bool has_ended = now - m_last_arrival >= usual_report_interval;
    m_reported_at = now;
    if (has_ended) {
        m_held = std::min(m_held, 0.0);
        m_has_idle_report = true; // an owner that is silent stays so until it answers
    } else if (!m_unanswered_since) {
        m_unanswered_since = now;
    }
    return {0, m_spent, m_held, has_ended ? 0.0 : m_demand.per_second(now)};
}

void quota_account::take_grant(const quota_grant& grant, base::time_point now) {
    m_held = std::min(m_quota.burst, m_held + grant.granted);
    m_share = grant.share;
    m_advance = std::min(grant.advance, m_quota.burst);
    m_admitted_part = grant.admitted_part;
    m_replied_at = now;
    m_unanswered_since.reset();
    m_grant_ends_at = now + grant_lifetime;
}

bool quota_account::is_idle(base::time_point now) const {
    return m_has_idle_report && now - m_last_arrival > idle_memory;
}

} // namespace carawayway::accounts
