// Tests of the limits that gateways keep together without messages, when gateways start and join.
#include "carawayway/gateway/gateway_state.hpp"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <memory>

namespace carawayway::gateway {
namespace {

using namespace std::chrono_literals;

const base::time_point start{1000s};

class retry_budget_of_all_gateways : public testing::Test {
protected:
    static constexpr int first_attempts_of_each = 7;

    // A process that has just started and knows `known_gateways` of the deployment.
    void start_gateway(std::size_t known_gateways) {
        m_gateways.push_back(std::make_unique<gateway_state>(
            m_context.get_executor(), placement::locality{"g0", "a", "r", {{"a", "r"}}}, m_bounds, 64U << 20U,
            [](const steering::crash_count&) {}, [](const quarantine_change&) {},
            [](const steering::crash_count&, const std::function<void(bool)>&) { return false; }, [] {}));
        learn_gateways(*m_gateways.back(), known_gateways);
    }

    static void learn_gateways(gateway_state& state, std::size_t count) {
        for (std::size_t index = 0; index < count; ++index) {
            state.servers.gateways().put({"g" + std::to_string(index), "a", "r", {}, {}, {}}, start);
        }
    }

    static void lose_gateways(gateway_state& state, std::size_t count) {
        for (std::size_t index = 0; index < count; ++index) {
            state.servers.gateways().erase("g" + std::to_string(index), start);
        }
    }

    // Sends first attempts through a gateway, then as many retries as it permits.
    void use(gateway_state& state, base::time_point now = start) {
        for (int attempt = 0; attempt < first_attempts_of_each; ++attempt) {
            state.retries_of("s", now).record_first_attempt(now);
            ++m_first_attempts;
        }
        while (state.retries_of("s", now).try_spend(retry_cause::refused, now)) {
            ++m_retries;
        }
    }

    void expect_limit_is_kept() const {
        EXPECT_LE(m_retries, m_bounds.retry_share * m_first_attempts + m_bounds.retry_slack)
            << m_first_attempts << " first attempts";
        EXPECT_GT(m_retries, 0);
    }

    boost::asio::io_context m_context;
    platform_bounds m_bounds{0.2, 60.0, 10s, {}, 0.15, 2s, 6s};
    std::vector<std::unique_ptr<gateway_state>> m_gateways;
    int m_first_attempts = 0;
    int m_retries = 0;
};

// Guards against retries above the limit when all gateways restart several times within its window, and each
// process starts with a full share.
TEST_F(retry_budget_of_all_gateways, holds_when_all_gateways_are_restarted_again_and_again) {
    constexpr std::size_t gateways = 8;
    constexpr std::size_t restarts = 4;
    for (std::size_t process = 0; process < gateways * restarts; ++process) {
        start_gateway(gateways);
        use(*m_gateways.back());
    }
    expect_limit_is_kept();
}

// Guards against retries above the limit when the registrations of all gateways lapse and each gateway takes
// a larger share, and against retries that were earned long before the window.
TEST_F(retry_budget_of_all_gateways, holds_when_gateways_lose_sight_of_each_other) {
    constexpr std::size_t gateways = 10;
    constexpr int earlier_attempts = 70;
    for (std::size_t process = 0; process < gateways; ++process) {
        start_gateway(gateways);
        lose_gateways(*m_gateways.back(), gateways);
        for (int attempt = 0; attempt < earlier_attempts; ++attempt) {
            m_gateways.back()->retries_of("s", start).record_first_attempt(start);
        }
    }
    for (const auto& state : m_gateways) {
        use(*state, start + 3 * m_bounds.retry_window);
    }
    expect_limit_is_kept();
}

// Guards against shares that are too large, because a gateway starts before the store lists the others.
TEST_F(retry_budget_of_all_gateways, holds_when_gateways_learn_of_each_other_late) {
    constexpr std::size_t gateways = 86;
    for (std::size_t process = 0; process < gateways; ++process) {
        start_gateway(1);
        m_gateways.back()->retries_of("s", start).record_first_attempt(start);
        ++m_first_attempts;
    }
    for (const auto& state : m_gateways) {
        learn_gateways(*state, gateways);
        use(*state);
    }
    expect_limit_is_kept();
}

} // namespace
} // namespace carawayway::gateway
