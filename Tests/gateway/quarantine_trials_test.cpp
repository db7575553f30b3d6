// Tests of the claims for trials of quarantined content against a scripted store.
#include "Tests/gateway/scripted_store.hpp"
#include "carawayway/gateway/quarantine_trials.hpp"
#include "platform/protocol.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <optional>

namespace carawayway::gateway {
namespace {

using testing::ElementsAre;

class quarantine_trials_test : public testing::Test {
protected:
    // Claims a trial, and returns whether this gateway got it.
    bool is_claimed() {
        std::optional<bool> result;
        EXPECT_TRUE(m_trials.try_claim({7, 3}, [&result](bool is_claimed) { result = is_claimed; }));
        while (!result) {
            m_context.run_one();
        }
        return *result;
    }

    boost::asio::io_context m_context;
    std::vector<std::string> m_calls;
    scripted_answer m_transaction_answer{store_reaction::answer, R"({"rev":9})"};
    scripted_store m_store{m_context,
                           [this](const std::string& target) -> scripted_answer {
                               m_calls.push_back(target);
                               return target == "/kv-txn" ? m_transaction_answer
                                                          : scripted_answer{store_reaction::answer,
                                                                            R"({"lease":5,"ttlMs":10000})"};
                           },
                           [](const std::string&) {}};
    std::size_t m_rank = 1;
    quarantine_trials<platform::protocol> m_trials{m_context.get_executor(), m_store.endpoint(), "g-1",
                                                   [this](std::string_view) { return m_rank; }};
};

TEST_F(quarantine_trials_test, a_trial_is_claimed_with_a_key_under_a_lease) {
    EXPECT_TRUE(is_claimed());
    EXPECT_THAT(m_calls, ElementsAre("/kv-lease", "/kv-txn"));
}

// Guards against several gateways that try the same content at the same time.
TEST_F(quarantine_trials_test, a_trial_that_another_gateway_has_claimed_is_not_made) {
    m_transaction_answer = {store_reaction::answer, R"({"items":[]})", {}, boost::beast::http::status{412}};
    EXPECT_FALSE(is_claimed());
}

// Also guards against a key that nobody makes a trial for, because the store wrote it and did not answer.
TEST_F(quarantine_trials_test, no_trial_is_made_if_the_store_does_not_answer_and_its_key_is_given_back) {
    m_transaction_answer = {store_reaction::close, {}};
    EXPECT_FALSE(is_claimed());
    EXPECT_THAT(m_calls, ElementsAre("/kv-lease", "/kv-txn", "/kv-lease-end/5"));
}

// Guards against content that stays refused while the store is away.
TEST_F(quarantine_trials_test, without_the_store_the_first_gateway_makes_the_trial) {
    m_transaction_answer = {store_reaction::close, {}};
    m_rank = 0;
    EXPECT_TRUE(is_claimed());
}

// Guards against several gateways that try the same content at the same time.
TEST_F(quarantine_trials_test, the_first_gateway_makes_no_trial_that_another_one_has_claimed) {
    m_transaction_answer = {store_reaction::answer, R"({"items":[]})", {}, boost::beast::http::status{412}};
    m_rank = 0;
    EXPECT_FALSE(is_claimed());
}

// Guards against a call to the store for each request that is refused.
TEST_F(quarantine_trials_test, claims_are_made_one_at_a_time_and_with_a_pause) {
    bool is_done = false;
    EXPECT_TRUE(m_trials.try_claim({7, 3}, [&is_done](bool) { is_done = true; }));
    EXPECT_FALSE(m_trials.try_claim({8, 3}, [](bool) {}));
    while (!is_done) {
        m_context.run_one();
    }
    EXPECT_FALSE(m_trials.try_claim({8, 3}, [](bool) {}));
    EXPECT_THAT(m_calls, ElementsAre("/kv-lease", "/kv-txn"));
}

} // namespace
} // namespace carawayway::gateway
