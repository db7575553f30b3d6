// Token bucket of retries.
#include "carawayway/steering/retry_budget.hpp"

namespace carawayway::steering {

retry_budget::retry_budget(retry_limits limits, base::time_point now)
    : m_limits(limits), m_tokens(limits.burst), m_accrued_at(now) {}

void retry_budget::record_first_attempt(base::time_point now) {
    accrue(now);
    m_tokens = std::min(m_limits.burst, m_tokens + m_limits.share);
}

bool retry_budget::try_spend(base::time_point now) {
    accrue(now);
    if (m_tokens < 1.0) {
        return false;
    }
    m_tokens -= 1.0;
    return true;
}

double retry_budget::available(base::time_point now) const {
    const double elapsed = std::max(0.0, base::to_seconds(now - m_accrued_at));
    return std::min(m_limits.burst, m_tokens + elapsed * m_limits.floor_per_second);
}

void retry_budget::accrue(base::time_point now) {
    m_tokens = available(now);
    m_accrued_at = std::max(m_accrued_at, now);
}

} // namespace carawayway::steering
