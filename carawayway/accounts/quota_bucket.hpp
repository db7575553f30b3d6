// Token bucket for the requests of one account at all gateways together.
#pragma once

#include "carawayway/base/time.hpp"
#include "carawayway/routing/configuration.hpp"

#include <algorithm>

namespace carawayway::accounts {

// What an account may use beyond its quota within a window, as the platform tolerates it.
struct quota_tolerance {
    double share = 0.0;    // of the quota
    double requests = 0.0; // in addition

    bool operator==(const quota_tolerance&) const = default;
};

// An account that may ask for anything may save at least one request.
inline routing::request_quota with_room_for_one(routing::request_quota quota) {
    quota.burst = std::max(1.0, quota.burst);
    return quota;
}

// Part of a large burst that gateways grant at once. The rest covers what they use before they know of each
// other; for a small burst the tolerated requests do.
constexpr double granted_burst = 0.8;
constexpr double small_burst = 10.0; // requests

// Part of the tolerated requests that callers get, so that requests of a small account that arrive unevenly
// at many gateways are not rejected.
constexpr double granted_tolerance = 0.3;

inline routing::request_quota with_tolerance(routing::request_quota quota, const quota_tolerance& tolerance) {
    quota.burst = std::max(std::min(quota.burst, small_burst), granted_burst * quota.burst) +
                  granted_tolerance * tolerance.requests;
    return quota;
}

class quota_bucket {
public:
    quota_bucket(const routing::request_quota& quota, double level, base::time_point now)
        : m_quota(with_room_for_one(quota)), m_level(level), m_refilled_at(now) {}

    void set_quota(const routing::request_quota& quota) {
        m_quota = with_room_for_one(quota);
        m_level = std::min(m_level, m_quota.burst);
    }
    const routing::request_quota& quota() const { return m_quota; }

    // `part` of the rate flows into this bucket; the rest is used elsewhere.
    void refill(double part, base::time_point now) {
        const double elapsed = std::max(0.0, base::to_seconds(now - m_refilled_at));
        m_refilled_at = now;
        m_level = std::min(m_quota.burst, m_level + m_quota.requests_per_second * part * elapsed);
    }

    // What exceeds the burst is forgiven, so that an account is never without quota for long.
    void take(double requests) { m_level = std::clamp(m_level - requests, -m_quota.burst, m_quota.burst); }

    // Requests that may run now; negative after more have run.
    double level() const { return m_level; }

private:
    routing::request_quota m_quota;
    double m_level = 0.0; // from -m_quota.burst to m_quota.burst
    base::time_point m_refilled_at{};
};

} // namespace carawayway::accounts
