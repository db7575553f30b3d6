// Tests what is counted and logged of the retries of a service.
#include "carawayway/gateway/service_retries.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace carawayway::gateway {
namespace {

using testing::HasSubstr;
using testing::IsEmpty;

constexpr base::time_point start{std::chrono::hours{1}};

class service_retries_test : public testing::Test {
protected:
    service_retries_test() { service_retries::declare_metrics(m_metrics); }

    std::string logged() {
        testing::internal::CaptureStdout();
        m_retries.log_counts(3, start);
        return testing::internal::GetCapturedStdout();
    }

    metrics::metric_registry m_metrics{64};
    service_retries m_retries{
        "orders", steering::proportional_retry_budget({1.0, std::chrono::seconds{10}, 1.0}, start),
        m_metrics};
};

// Guards against retries in excess of the budget that cannot be told apart by their cause, and against denied
// ones that are counted as sent.
TEST_F(service_retries_test, counts_permitted_and_denied_retries_by_cause) {
    m_retries.record_first_attempt(start);
    m_retries.record_first_attempt(start);
    EXPECT_TRUE(m_retries.try_spend(retry_cause::refused, start));
    EXPECT_FALSE(m_retries.try_spend(retry_cause::lost, start));
    const auto text = m_metrics.to_prometheus();
    EXPECT_THAT(text, HasSubstr(R"(retries_total{cause="refused",permitted="yes",service="orders"} 1)"));
    EXPECT_THAT(text, HasSubstr(R"(retries_total{cause="lost",permitted="no",service="orders"} 1)"));
}

// Guards against a log from which the retries of all gateways cannot be added up.
TEST_F(service_retries_test, logs_each_count_once) {
    m_retries.record_first_attempt(start);
    m_retries.record_first_attempt(start);
    EXPECT_THAT(logged(), IsEmpty());
    EXPECT_TRUE(m_retries.try_spend(retry_cause::refused, start));
    EXPECT_FALSE(m_retries.try_spend(retry_cause::refused, start));
    EXPECT_THAT(logged(), HasSubstr("event=retry-budget service=orders first_attempts=0 retries=1 denied=1"));
    EXPECT_THAT(logged(), IsEmpty());
}

} // namespace
} // namespace carawayway::gateway
