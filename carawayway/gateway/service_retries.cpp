// Counts retries by cause.
#include "carawayway/gateway/service_retries.hpp"

#include "carawayway/base/log.hpp"

#include <fmt/format.h>

namespace carawayway::gateway {

namespace {

constexpr const char* retries_metric = "carawayway_gateway_retries_total";

} // namespace

void service_retries::declare_metrics(metrics::metric_registry& metrics) {
    metrics.declare(retries_metric, metrics::metric_type::counter,
                    "Retries by service, cause and whether the retry budget permitted them.");
}

void service_retries::record_first_attempt(base::time_point now) {
    m_budget.record_first_attempt(now);
    ++m_counts.first_attempts;
}

bool service_retries::try_spend(retry_cause cause, base::time_point now) {
    const bool permitted = m_budget.try_spend(now);
    ++(permitted ? m_counts.retries : m_counts.denied);
    m_metrics.add(retries_metric, {{"cause", std::string(to_text(cause))},
                                   {"permitted", permitted ? "yes" : "no"},
                                   {"service", m_service}});
    return permitted;
}

void service_retries::log_counts(std::size_t known_gateways, base::time_point now) {
    if (m_counts.retries + m_counts.denied > 0) {
        base::log(base::log_level::info, "retry-budget",
                  {{"service", m_service},
                   {"first_attempts", m_counts.first_attempts},
                   {"retries", m_counts.retries},
                   {"denied", m_counts.denied},
                   {"available", fmt::format("{:.1f}", m_budget.available(now))},
                   {"known_gateways", known_gateways}});
    }
    m_counts = {};
}

} // namespace carawayway::gateway
