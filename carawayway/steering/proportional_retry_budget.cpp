// Token bucket whose capacity follows the traffic.
#include "carawayway/steering/proportional_retry_budget.hpp"

#include <algorithm>

namespace carawayway::steering {

namespace {

// Resolution with which first attempts leave the window.
constexpr int buckets_per_window = 20;

} // namespace

proportional_retry_budget::proportional_retry_budget(shared_retry_limits limits, base::time_point now)
    : m_limits(limits), m_first_attempts(limits.window / buckets_per_window, buckets_per_window, now) {}

void proportional_retry_budget::record_first_attempt(base::time_point now) {
    m_first_attempts.add(now);
    m_tokens = std::min(capacity(now), m_tokens + m_limits.share * earned_part);
}

bool proportional_retry_budget::try_spend(base::time_point now) {
    m_tokens = available(now);
    if (m_tokens < 1.0) {
        return false;
    }
    m_tokens -= 1.0;
    return true;
}

double proportional_retry_budget::available(base::time_point now) const {
    return std::min(capacity(now), m_tokens);
}

double proportional_retry_budget::capacity(base::time_point now) const {
    const auto current = m_first_attempts.bucket_at(now);
    const auto first_attempts =
        static_cast<double>(m_first_attempts.sum(current - buckets_per_window, current));
    return std::max(m_limits.minimum_burst, m_limits.share * saved_part * first_attempts);
}

} // namespace carawayway::steering
