// The retry budget of one service at this gateway, with counts for the log and the metrics.
#pragma once

#include "carawayway/gateway/retry_cause.hpp"
#include "carawayway/metrics/metric_registry.hpp"
#include "carawayway/steering/proportional_retry_budget.hpp"

#include <cstdint>
#include <string>

namespace carawayway::gateway {

class service_retries {
public:
    // `metrics` must outlive this object.
    service_retries(std::string service, steering::proportional_retry_budget budget,
                    metrics::metric_registry& metrics)
        : m_service(std::move(service)), m_budget(std::move(budget)), m_metrics(metrics) {}

    static void declare_metrics(metrics::metric_registry& metrics);

    void record_first_attempt(base::time_point now);
    // Takes one retry from the budget; false when none is available.
    bool try_spend(retry_cause cause, base::time_point now);

    // Writes what happened since the last call, if any retry was wanted.
    void log_counts(std::size_t known_gateways, base::time_point now);

private:
    struct counts {
        std::uint64_t first_attempts = 0;
        std::uint64_t retries = 0;
        std::uint64_t denied = 0; // retries that the budget did not permit
    };

    std::string m_service;
    steering::proportional_retry_budget m_budget;
    metrics::metric_registry& m_metrics;
    counts m_counts; // since the last call of log_counts()
};

} // namespace carawayway::gateway
