// Guards against content that crashes servers without end, and against harmless content that is quarantined
// because servers failed for another reason while they ran it.
#include "carawayway/steering/crash_history.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <random>

namespace carawayway::steering {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

const base::time_point start{seconds{1000}};

class crash_history_test : public testing::Test {
protected:
    crash_history m_history{{}};
};

TEST_F(crash_history_test, the_third_loss_in_sequence_quarantines_for_the_expiry) {
    EXPECT_EQ(m_history.suspicion(1, start), crash_suspicion::none);
    m_history.record_loss(1, 0, start);
    EXPECT_EQ(m_history.suspicion(1, start), crash_suspicion::suspected);
    m_history.record_loss(1, 1, start);
    EXPECT_EQ(m_history.suspicion(1, start), crash_suspicion::suspected);
    EXPECT_EQ(m_history.quarantine_left(1, start), base::duration::zero());
    m_history.record_loss(1, 2, start);
    EXPECT_EQ(m_history.suspicion(1, start), crash_suspicion::quarantined);
    EXPECT_EQ(m_history.quarantine_left(1, start + minutes{4}), minutes{6});
    EXPECT_EQ(m_history.suspicion(1, start + minutes{10}), crash_suspicion::none);
    EXPECT_EQ(m_history.suspicion(2, start), crash_suspicion::none);
}

// A failure domain that loses power takes all its servers at once.
TEST_F(crash_history_test, losses_of_requests_that_were_sent_together_count_once) {
    for (int server = 0; server < 5; ++server) {
        m_history.record_loss(1, 0, start);
    }
    EXPECT_EQ(m_history.suspicion(1, start), crash_suspicion::suspected);
}

TEST_F(crash_history_test, an_answer_clears_suspected_but_not_quarantined_content) {
    m_history.record_loss(1, 0, start);
    EXPECT_TRUE(m_history.record_answer(1));
    EXPECT_EQ(m_history.losses(1, start), 0U);
    EXPECT_FALSE(m_history.record_answer(1)) << "nothing is left to clear";
    m_history.record_loss(1, 1, start);
    EXPECT_EQ(m_history.losses(1, start), 1U) << "the loss before the answer no longer counts";
    m_history.record_loss(1, 1, start);
    m_history.record_loss(1, 2, start);
    EXPECT_FALSE(m_history.record_answer(1));
    EXPECT_EQ(m_history.suspicion(1, start), crash_suspicion::quarantined);
}

TEST_F(crash_history_test, weak_evidence_clears_only_by_its_number_and_counts_from_the_first_loss) {
    m_history.record_loss(1, 0, start);
    EXPECT_FALSE(m_history.record_answer(1, 3));
    m_history.record_loss(1, 1, start);
    EXPECT_FALSE(m_history.record_answer(1, 3));
    EXPECT_TRUE(m_history.record_answer(1, 3));
    EXPECT_EQ(m_history.losses(1, start), 0U);
    m_history.record_loss(1, 0, start);
    EXPECT_FALSE(m_history.record_answer(1, 2));
    m_history.record_loss(1, 0, start + minutes{10});
    EXPECT_FALSE(m_history.record_answer(1, 2)) << "the answer before the expiry no longer counts";
}

TEST_F(crash_history_test, counts_of_other_gateways_only_raise_or_clear) {
    EXPECT_FALSE(m_history.merge({1, 1}, start));
    EXPECT_FALSE(m_history.merge({1, 2}, start));
    EXPECT_TRUE(m_history.merge({1, 3}, start));
    EXPECT_FALSE(m_history.merge({1, 3}, start + seconds{1})) << "only newly quarantined content is reported";
    EXPECT_FALSE(m_history.merge({1, 1}, start));
    EXPECT_FALSE(m_history.merge({1, 0}, start));
    EXPECT_EQ(m_history.suspicion(1, start), crash_suspicion::quarantined);
    m_history.merge({2, 1}, start);
    m_history.merge({2, 0}, start);
    EXPECT_EQ(m_history.suspicion(2, start), crash_suspicion::none);
}

// Guards against harmless content that is kept from all servers for the whole expiry.
TEST_F(crash_history_test, released_content_may_run_until_its_next_loss) {
    m_history.merge({1, 3}, start);
    EXPECT_TRUE(m_history.release({1, 3}, start));
    EXPECT_EQ(m_history.suspicion(1, start), crash_suspicion::suspected);
    m_history.record_loss(1, 2, start);
    EXPECT_EQ(m_history.suspicion(1, start), crash_suspicion::suspected) << "sent before the third loss";
    EXPECT_FALSE(m_history.merge({1, 3}, start)) << "a late notice of the third loss";
    m_history.record_loss(1, 3, start);
    EXPECT_EQ(m_history.suspicion(1, start), crash_suspicion::quarantined);
    EXPECT_EQ(m_history.losses(1, start), 4U);
    EXPECT_FALSE(m_history.release({1, 3}, start)) << "a late notice of the release";
}

TEST_F(crash_history_test, released_content_is_cleared_by_answers_since_its_release) {
    m_history.merge({1, 3}, start);
    m_history.release({1, 3}, start);
    EXPECT_FALSE(m_history.record_answer(1, 2));
    EXPECT_TRUE(m_history.record_answer(1, 2));
    EXPECT_EQ(m_history.losses(1, start), 0U);
}

// Guards against gateways that start after a release and take the content for harmless.
TEST_F(crash_history_test, a_release_of_unknown_content_makes_it_suspected) {
    m_history.release({1, 4}, start);
    EXPECT_EQ(m_history.suspicion(1, start), crash_suspicion::suspected);
    EXPECT_EQ(m_history.losses(1, start), 4U);
}

// Guards against content that takes more servers in trials than the users allow in retries, three.
TEST_F(crash_history_test, three_trials_at_most_are_made_before_a_quarantine_is_over) {
    constexpr auto recovery_time = seconds{15}; // in which the users expect service after a fault
    int trials = 0;
    auto now = start;
    for (auto losses = crash_history::quarantine_losses; losses <= crash_history::maximum_losses; ++losses) {
        if (trials < 3) {
            EXPECT_LT(crash_history::trial_interval(losses), recovery_time) << losses;
        }
        now += crash_history::trial_interval(losses);
        trials += now - start < crash_history_limits{}.expiry ? 1 : 0;
    }
    EXPECT_EQ(trials, 3);
    EXPECT_EQ(crash_history::trial_interval(100), crash_history_limits{}.expiry);
}

TEST_F(crash_history_test, a_full_table_keeps_quarantined_content) {
    crash_history small({2, minutes{10}});
    small.merge({1, 3}, start);
    small.merge({2, 1}, start);
    small.merge({3, 1}, start + seconds{1});
    EXPECT_EQ(small.size(), 2U);
    EXPECT_EQ(small.suspicion(1, start), crash_suspicion::quarantined);
    EXPECT_EQ(small.suspicion(2, start), crash_suspicion::none);
    EXPECT_EQ(small.suspicion(3, start), crash_suspicion::suspected);
}

// Several gateways run random content; counts reach the others late, in any order and more than once.
RC_GTEST_PROP(crash_history_property, crashing_content_is_soon_kept_out_by_all_gateways, ()) {
    constexpr std::uint64_t crashing_content = 0;
    constexpr std::uint64_t contents = 6;
    constexpr int maximum_delay = 8; // requests
    struct message {
        std::size_t to = 0;
        crash_count count;
        int due = 0;
    };
    std::mt19937_64 random{*rc::gen::arbitrary<std::uint64_t>()};
    std::array<crash_history, 4> gateways{crash_history{{}}, crash_history{{}}, crash_history{{}},
                                          crash_history{{}}};
    std::vector<message> messages;
    int last_crash = 0;
    int crashes = 0;
    for (int step = 0; step < 400; ++step) {
        for (const auto& item : messages) {
            if (item.due == step) {
                gateways.at(item.to).merge(item.count, start);
            }
        }
        const std::size_t receiver = random() % gateways.size();
        auto& gateway = gateways.at(receiver);
        const std::uint64_t content = random() % contents;
        if (gateway.suspicion(content, start) == crash_suspicion::quarantined) {
            RC_ASSERT(content == crashing_content);
            continue;
        }
        crash_count change{content, 0};
        if (content == crashing_content) {
            ++crashes;
            last_crash = step;
            gateway.record_loss(content, gateway.losses(content, start), start);
            change.losses = gateway.losses(content, start);
        } else if (!gateway.record_answer(content)) {
            continue;
        }
        for (std::size_t other = 0; other < gateways.size(); ++other) {
            for (int copy = 0; copy < 2 && other != receiver; ++copy) {
                messages.push_back({other, change, step + 1 + static_cast<int>(random() % maximum_delay)});
            }
        }
    }
    for (const auto& gateway : gateways) {
        RC_ASSERT(gateway.suspicion(crashing_content, start) == crash_suspicion::quarantined);
    }
    // Each gateway may run it three times before it hears of the others; none of them runs it afterwards.
    RC_ASSERT(crashes <= 3 * static_cast<int>(gateways.size()));
    RC_ASSERT(last_crash < 400 - maximum_delay);
}

} // namespace
} // namespace carawayway::steering
