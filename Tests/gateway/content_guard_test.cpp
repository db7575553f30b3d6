// Tests of what a gateway tells the others about content that was lost with a server.
#include "carawayway/gateway/content_fingerprint.hpp"
#include "carawayway/gateway/content_guard.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace carawayway::gateway {
namespace {

using steering::crash_count;
using testing::ElementsAre;
using testing::IsEmpty;

const base::time_point now{std::chrono::seconds{1000}};

// Two variants of one content.
constexpr content_fingerprints first{10, 1};
constexpr content_fingerprints second{10, 2};
constexpr content_fingerprints third{10, 3};

class content_guard_test : public testing::Test {
protected:
    // Loses a server that was sent the request when all earlier losses were known.
    void lose_server(const content_fingerprints& request) {
        m_guard.record_loss(request, m_guard.losses(request, now), now);
    }

    bool is_quarantined(const content_fingerprints& request) const {
        return m_guard.quarantine_left(request, now) > base::duration::zero();
    }

    metrics::metric_registry m_metrics{10};
    std::vector<crash_count> m_shared;
    std::vector<quarantine_change> m_published; // without those that tell only of answers
    std::vector<quarantine_change> m_published_answers;
    std::vector<crash_count> m_claimed;
    std::function<void(bool is_claimed)> m_finish_claim; // of the last claim
    content_guard m_guard{m_metrics, [this](const crash_count& count) { m_shared.push_back(count); },
                          [this](const quarantine_change& change) {
                              (change.answered == 0 ? m_published : m_published_answers).push_back(change);
                          },
                          [this](const crash_count& subject, std::function<void(bool)> done) {
                              m_claimed.push_back(subject);
                              m_finish_claim = std::move(done);
                              return true;
                          }};
};

// Guards against a flood of notices when answers are lost and the repeats of the requests succeed.
TEST_F(content_guard_test, a_loss_that_is_followed_by_an_answer_is_not_shared) {
    m_guard.record_loss(first, {}, now);
    m_guard.record_answer(first, now);
    m_guard.share_loss(first, now);
    EXPECT_THAT(m_shared, IsEmpty());
    EXPECT_TRUE(m_guard.is_idle());
}

TEST_F(content_guard_test, a_loss_is_shared_once_and_its_clearing_as_well) {
    m_guard.record_loss(first, {}, now);
    m_guard.share_loss(first, now);
    m_guard.share_loss(first, now);
    EXPECT_TRUE(m_guard.record_answer(first, now));
    EXPECT_FALSE(m_guard.record_answer(first, now));
    EXPECT_THAT(m_shared,
                ElementsAre(crash_count{1, 1}, crash_count{10, 1}, crash_count{1, 0}, crash_count{10, 0}));
    EXPECT_THAT(m_published, IsEmpty());
}

TEST_F(content_guard_test, an_answer_clears_what_another_gateway_suspected) {
    m_guard.merge({1, 1}, quarantine_source::peer, now);
    m_guard.record_answer(first, now);
    EXPECT_THAT(m_shared, ElementsAre(crash_count{1, 0}));
}

TEST_F(content_guard_test, a_quarantine_is_shared_and_published_at_once_by_the_gateway_that_lost_the_server) {
    m_guard.merge({1, 2}, quarantine_source::peer, now);
    lose_server(first);
    m_guard.record_loss(first, {0, 2}, now);
    EXPECT_THAT(m_shared, ElementsAre(crash_count{1, 3}));
    EXPECT_THAT(m_published, ElementsAre(quarantine_change{1, 3, false}));
    EXPECT_EQ(m_guard.quarantine_left(first, now), steering::crash_history_limits{}.expiry);
}

// Guards against content that ends servers under another object each time.
TEST_F(content_guard_test, three_variants_that_lose_servers_quarantine_their_content) {
    lose_server(first);
    lose_server(second);
    EXPECT_FALSE(is_quarantined({10, 4}));
    lose_server(third);
    EXPECT_TRUE(is_quarantined({10, 4}));
    EXPECT_FALSE(is_quarantined({11, 4}));
    EXPECT_THAT(m_published, ElementsAre(quarantine_change{10, 3, false}));
    EXPECT_THAT(m_shared, ElementsAre(crash_count{10, 3}));
}

// Guards against a path that is refused to all callers, because a request for one object ends servers.
TEST_F(content_guard_test, a_variant_that_loses_servers_again_and_again_leaves_the_others_available) {
    for (int loss = 0; loss < 3; ++loss) {
        lose_server(first);
    }
    EXPECT_TRUE(is_quarantined(first));
    EXPECT_FALSE(is_quarantined(second));
}

// Guards against content that ends servers for most objects and is cleared by an answer for another one.
TEST_F(content_guard_test, single_answers_for_other_objects_do_not_clear_the_content) {
    constexpr content_fingerprints harmless{10, 9};
    lose_server(first);
    m_guard.record_answer(harmless, now);
    lose_server(second);
    m_guard.record_answer(harmless, now);
    lose_server(third);
    EXPECT_TRUE(is_quarantined({10, 4}));
}

// Guards against losses of a content that no other gateway hears of, because the variant is answered by
// another server before the loss is shared.
TEST_F(content_guard_test, a_content_that_stays_suspected_after_an_answer_is_shared) {
    lose_server(first);
    lose_server(second);
    m_guard.record_answer(second, now);
    const auto answered = steering::set_of_variant(second.variant);
    EXPECT_THAT(m_shared, ElementsAre(crash_count{10, 2, answered, false, answered}));
}

// Guards against a busy path that is refused to all callers, because three servers ended for other reasons.
TEST_F(content_guard_test, many_answers_for_other_objects_clear_the_content) {
    lose_server(first);
    lose_server(second);
    for (std::uint64_t answer = 0; answer < content_guard::answers_that_clear_content; ++answer) {
        EXPECT_EQ(m_guard.losses({10, 4}, now).content, 2U);
        m_guard.record_answer({10, 100 + answer}, now);
    }
    EXPECT_EQ(m_guard.losses({10, 4}, now).content, 0U);
    EXPECT_EQ(m_guard.losses(first, now).variant, 1U) << "only its own answer clears a variant";
}

TEST_F(content_guard_test, a_quarantine_of_another_gateway_is_neither_shared_nor_published) {
    m_guard.merge({1, 3}, quarantine_source::peer, now);
    m_guard.merge({2, 3}, quarantine_source::store, now);
    EXPECT_THAT(m_shared, IsEmpty());
    EXPECT_THAT(m_published, IsEmpty());
    const auto text = m_metrics.to_prometheus();
    EXPECT_THAT(text, testing::HasSubstr("carawayway_gateway_quarantines_total{source=\"peer\"} 1"));
    EXPECT_THAT(text, testing::HasSubstr("carawayway_gateway_quarantines_total{source=\"store\"} 1"));
}

// Guards against a resend with the cookie of another object each time, which hides among other callers of the
// same path and body: servers answer them, and excuse the losses of the content.
TEST_F(content_guard_test, a_query_that_loses_servers_under_changing_objects_is_quarantined_by_itself) {
    constexpr std::uint64_t query = 100;
    for (std::uint64_t answer = 0; answer < 20; ++answer) {
        m_guard.record_answer({10, 200 + answer, 300 + answer, 400 + answer}, now);
    }
    for (std::uint64_t object = 0; object < 3; ++object) {
        EXPECT_FALSE(is_quarantined({10, 50, query, 60}));
        lose_server({10, 20 + object, query, 30 + object});
    }
    EXPECT_TRUE(is_quarantined({10, 50, query, 60}));
    EXPECT_FALSE(is_quarantined({10, 51, query + 1, 61}));
    EXPECT_THAT(m_published, ElementsAre(quarantine_change{query, 3, false}));
    const auto due = now + steering::crash_history::shortest_trial_interval;
    EXPECT_EQ(m_guard.trial_subject({10, 50, query, 60}, due), (crash_count{query, 3}));
    EXPECT_EQ(m_guard.trial_subject({10, 20, query, 30}, due), std::nullopt) << "has lost a server";
}

// Guards against a request that stays refused, because a trial has tested only one of its fingerprints.
TEST_F(content_guard_test, a_good_answer_to_a_trial_releases_all_that_the_request_has_tested) {
    for (std::uint64_t object = 0; object < 3; ++object) {
        lose_server({10, 20 + object, 100, 30 + object});
    }
    const content_fingerprints fresh{10, 50, 100, 60};
    const auto subject = m_guard.trial_subject(fresh, now + steering::crash_history::shortest_trial_interval);
    EXPECT_EQ(subject, (crash_count{10, 3}));
    m_guard.release(*subject, now);
    EXPECT_TRUE(is_quarantined(fresh));
    m_guard.release_others(fresh, now);
    EXPECT_FALSE(is_quarantined(fresh));
}

class answered_content_test : public content_guard_test {
protected:
    static constexpr content_fingerprints other{10, 9};

    // Records answers to further variants.
    void answer_variants(std::uint64_t count) {
        for (std::uint64_t index = 0; index < count; ++index) {
            m_guard.record_answer({10, 30 + index}, now);
        }
    }
    void lose_variants(std::uint64_t count) {
        for (std::uint64_t index = 0; index < count; ++index) {
            lose_server({10, 20 + index});
        }
    }
    static steering::variant_set set_of(std::uint64_t first_variant, std::uint64_t count) {
        steering::variant_set result = 0;
        for (std::uint64_t index = 0; index < count; ++index) {
            result |= steering::set_of_variant(first_variant + index);
        }
        return result;
    }
};

// Guards against a path that is refused to all callers, because servers crashed while they ran some of the
// many requests for it that servers answer.
TEST_F(answered_content_test, a_content_that_servers_answer_is_not_quarantined_by_three_crashes) {
    answer_variants(4);
    lose_variants(4);
    EXPECT_FALSE(is_quarantined(other));
    EXPECT_THAT(m_published, IsEmpty());
}

// Guards against a request that all callers send alike and that is refused to all of them, because servers
// crashed while they ran it.
TEST_F(answered_content_test, a_variant_that_servers_have_answered_is_not_quarantined_by_three_crashes) {
    for (std::uint64_t request = 1; request <= 4; ++request) {
        m_guard.record_answer(other, now, request);
        m_guard.record_answer(other, now, request); // sent again
    }
    for (int loss = 0; loss < 4; ++loss) {
        lose_server(other);
    }
    EXPECT_FALSE(is_quarantined(other));
    EXPECT_FALSE(is_quarantined(first)) << "the content has lost one variant";
    lose_server(other);
    EXPECT_TRUE(is_quarantined(other));
    EXPECT_THAT(m_published, ElementsAre(quarantine_change{9, 3, false}));
}

// Guards against content that was harmless once and takes one server after the other.
TEST_F(answered_content_test, more_losses_than_answers_excuse_quarantine_the_content) {
    answer_variants(4);
    lose_variants(5);
    EXPECT_TRUE(is_quarantined(other));
    EXPECT_THAT(m_published, ElementsAre(quarantine_change{10, 3, false}));
    EXPECT_EQ(m_guard.trial_interval(other, now), steering::crash_history::trial_interval(3));
}

// Guards against gateways that take a content for harmful, because its callers use other gateways, too.
TEST_F(answered_content_test, answers_of_other_gateways_excuse_losses) {
    m_guard.merge({10, 1, set_of(40, 4)}, quarantine_source::peer, now);
    lose_variants(3);
    EXPECT_FALSE(is_quarantined(other));
    lose_server(first);
    EXPECT_TRUE(is_quarantined(other));
}

TEST_F(answered_content_test, a_gateway_that_has_lost_a_server_is_told_of_answers_that_it_does_not_know) {
    answer_variants(2);
    const crash_count answered{10, 1, set_of(30, 2)};
    EXPECT_EQ(m_guard.reply_to({10, 1}, now), answered);
    EXPECT_EQ(m_guard.reply_to({10, 1, set_of(30, 1)}, now), answered);
    EXPECT_EQ(m_guard.reply_to(answered, now), std::nullopt);
    EXPECT_EQ(m_guard.reply_to({10, 1, set_of(40, 12)}, now), std::nullopt) << "it knows enough";
    EXPECT_EQ(m_guard.reply_to({11, 1}, now), std::nullopt);
    m_guard.merge({10, 1}, quarantine_source::peer, now);
    EXPECT_EQ(m_guard.reply_to({10, 1}, now), std::nullopt) << "repeated";
    EXPECT_EQ(m_guard.reply_to({10, 2}, now), (crash_count{10, 2, set_of(30, 2)}));
}

// Guards against losses that add up while answers come to many gateways, a few to each.
TEST_F(answered_content_test, answers_at_all_gateways_together_clear_the_content) {
    lose_variants(2);
    m_guard.share_loss({10, 20}, now);
    m_guard.share_loss({10, 21}, now);
    answer_variants(2);
    m_shared.clear();
    m_guard.merge({10, 2, 0, false, set_of(40, 5)}, quarantine_source::peer, now);
    EXPECT_EQ(m_guard.losses(other, now).content, 2U);
    m_guard.merge({10, 2, 0, false, set_of(44, 2)}, quarantine_source::peer, now);
    EXPECT_EQ(m_guard.losses(other, now).content, 0U);
    EXPECT_THAT(m_shared, ElementsAre(crash_count{10, 0}));
}

TEST_F(answered_content_test, a_gateway_that_has_lost_a_server_is_told_of_answers_since_the_first_loss) {
    m_guard.merge({10, 1}, quarantine_source::peer, now);
    answer_variants(1);
    const auto answered = set_of(30, 1);
    EXPECT_EQ(m_guard.reply_to({10, 2, answered}, now), (crash_count{10, 2, answered, false, answered}));
    EXPECT_EQ(m_guard.reply_to({10, 2, answered, false, answered}, now), std::nullopt);
}

// Guards against gateways that start after all were killed, and take for harmful what servers have answered.
TEST_F(answered_content_test, answers_that_excuse_losses_are_published_for_gateways_that_start_later) {
    answer_variants(1);
    lose_variants(1);
    EXPECT_THAT(m_published_answers, IsEmpty()) << "it excuses nothing";
    answer_variants(4);
    lose_server(first);
    lose_server(second);
    EXPECT_THAT(m_published_answers, ElementsAre(quarantine_change{10, 0, false, set_of(30, 4)}));
    m_guard.merge({10, 3, set_of(40, 4)}, quarantine_source::peer, now);
    EXPECT_EQ(m_published_answers.back(), (quarantine_change{10, 0, false, set_of(30, 4) | set_of(40, 4)}))
        << "told in a reply";
    content_guard later{m_metrics, [](const crash_count&) {}, [](const quarantine_change&) {},
                        [](const crash_count&, const std::function<void(bool)>&) { return false; }};
    later.apply_answers(10, set_of(30, 4), now);
    for (std::uint64_t variant = 20; variant < 24; ++variant) {
        later.record_loss({10, variant}, later.losses({10, variant}, now), now);
    }
    EXPECT_EQ(later.quarantine_left(other, now), base::duration::zero());
}

// Guards against released content that is refused again by each loss, whatever servers have answered since.
TEST_F(answered_content_test, answers_since_the_release_excuse_losses) {
    lose_variants(3);
    m_guard.release({10, 3}, now);
    answer_variants(2);
    lose_server(first);
    EXPECT_FALSE(is_quarantined(other));
    lose_server(second);
    EXPECT_TRUE(is_quarantined(other));
}

// Guards against content that is refused for ten minutes, because servers crashed in three trials, although
// they have answered it.
TEST_F(answered_content_test, content_that_servers_answer_is_tried_on_and_on) {
    answer_variants(2);
    lose_variants(12);
    EXPECT_TRUE(is_quarantined(other));
    EXPECT_EQ(m_guard.trial_interval(other, now), steering::crash_history::shortest_trial_interval);
}

// Guards against content that is released by a trial which began before the last server was lost.
TEST_F(answered_content_test, a_trial_does_not_excuse_a_later_loss) {
    answer_variants(4);
    lose_variants(5);
    const auto tested = m_guard.trial_subject(other, now + steering::crash_history::shortest_trial_interval);
    lose_server(first);
    m_guard.release(*tested, now);
    EXPECT_TRUE(is_quarantined(other));
}

// Guards against a quarantine that lasts, because the other gateways could tell of their answers only later.
TEST_F(answered_content_test, a_quarantine_ends_when_answers_become_known) {
    lose_variants(3);
    EXPECT_TRUE(is_quarantined(other));
    m_guard.merge({10, 3, set_of(40, 2)}, quarantine_source::peer, now);
    EXPECT_FALSE(is_quarantined(other));
    EXPECT_THAT(m_published, ElementsAre(quarantine_change{10, 3, false}, quarantine_change{10, 2, true}));
}

TEST_F(answered_content_test, only_the_gateway_that_has_published_a_quarantine_publishes_its_end) {
    m_guard.merge({10, 3}, quarantine_source::peer, now);
    answer_variants(2); // of requests that were on their way
    EXPECT_FALSE(is_quarantined(other));
    EXPECT_THAT(m_published, IsEmpty());
}

class quarantine_trial_test : public content_guard_test {
protected:
    static constexpr base::duration interval = steering::crash_history::shortest_trial_interval;
    static constexpr content_fingerprints fresh{10, 9};
    static constexpr crash_count content_after_three{10, 3};

    void quarantine_content() {
        lose_server(first);
        lose_server(second);
        lose_server(third);
        m_published.clear();
    }
};

// Guards against content that is refused to all callers, because servers ended for another reason while they
// ran it.
TEST_F(quarantine_trial_test, a_good_answer_to_a_trial_ends_the_quarantine) {
    quarantine_content();
    EXPECT_EQ(m_guard.trial_subject(fresh, now + interval), content_after_three);
    m_guard.release(content_after_three, now);
    EXPECT_FALSE(is_quarantined(fresh));
    EXPECT_THAT(m_published, ElementsAre(quarantine_change{10, 3, true}));
}

// Guards against content that takes three more servers each time that one of its objects is harmless.
TEST_F(quarantine_trial_test, the_next_loss_quarantines_released_content_and_counts_as_a_lost_trial) {
    quarantine_content();
    m_guard.release(content_after_three, now);
    lose_server(fresh);
    EXPECT_TRUE(is_quarantined(fresh));
    EXPECT_THAT(m_published, ElementsAre(quarantine_change{10, 3, true}, quarantine_change{10, 4, false}));
    EXPECT_EQ(m_guard.trial_interval(fresh, now), interval);
    lose_server({10, 11});
    lose_server({10, 12});
    EXPECT_EQ(m_guard.trial_interval(fresh, now), steering::crash_history_limits{}.expiry);
}

// Guards against harmless content that is refused for longer than the users allow, because a server crashed
// by chance during the trial.
TEST_F(quarantine_trial_test, a_loss_in_a_trial_defers_the_next_one_by_the_interval) {
    quarantine_content();
    lose_server(fresh);
    EXPECT_THAT(m_published, ElementsAre(quarantine_change{10, 4, false}));
    EXPECT_EQ(m_guard.trial_subject({10, 8}, now + interval - std::chrono::milliseconds{1}), std::nullopt);
    EXPECT_EQ(m_guard.trial_subject({10, 8}, now + interval), (crash_count{10, 4}));
    EXPECT_EQ(m_guard.trial_interval({10, 8}, now), interval);
}

// Guards against gateways that refuse what another one has found to be harmless, because the store is slow or
// away.
TEST_F(quarantine_trial_test, the_end_of_a_quarantine_is_learned_from_the_gateway_that_made_the_trial) {
    quarantine_content();
    m_shared.clear();
    m_guard.release(content_after_three, now);
    const crash_count released{10, 3, 0, true};
    EXPECT_THAT(m_shared, ElementsAre(released));
    m_guard.merge({20, 3}, quarantine_source::peer, now);
    m_guard.merge({20, 3, 0, true}, quarantine_source::peer, now);
    EXPECT_FALSE(is_quarantined({20, 9}));
    m_guard.merge({20, 4}, quarantine_source::peer, now);
    m_guard.merge({20, 3, 0, true}, quarantine_source::peer, now);
    EXPECT_TRUE(is_quarantined({20, 9})) << "a repeated notice of before the loss";
    EXPECT_EQ(m_guard.reply_to({20, 9, 0, true}, now), std::nullopt);
}

// Guards against gateways that refuse for ten minutes what another one has found to be harmless.
TEST_F(quarantine_trial_test, the_end_of_a_quarantine_is_learned_from_the_store) {
    quarantine_content();
    m_guard.apply({10, 3, true}, now);
    EXPECT_FALSE(is_quarantined(fresh));
    m_guard.apply({10, 4, false}, now);
    EXPECT_TRUE(is_quarantined(fresh)) << "another loss";
    m_guard.apply({10, 3, true}, now);
    EXPECT_TRUE(is_quarantined(fresh)) << "of before that loss";
    EXPECT_THAT(m_published, IsEmpty());
}

// Guards against gateways that try the same content at the same time.
TEST_F(quarantine_trial_test, nothing_is_tried_while_a_trial_is_claimed) {
    quarantine_content();
    m_guard.set_trial_claimed(10, true, now + interval);
    EXPECT_EQ(m_guard.trial_subject(fresh, now + interval), std::nullopt);
    m_guard.set_trial_claimed(10, false, now + interval);
    EXPECT_EQ(m_guard.trial_subject(fresh, now + interval), content_after_three);
}

// Guards against content that is refused because the end of a claim was not learned from the store.
TEST_F(quarantine_trial_test, a_claim_counts_no_longer_than_its_lease) {
    quarantine_content();
    m_guard.set_trial_claimed(10, true, now + interval);
    const auto end = now + 2 * interval;
    EXPECT_EQ(m_guard.trial_subject(fresh, end - std::chrono::milliseconds{1}), std::nullopt);
    EXPECT_EQ(m_guard.trial_subject(fresh, end), content_after_three);
}

// Guards against a trial without a result, which makes callers wait for another interval.
TEST_F(quarantine_trial_test, a_trial_without_a_result_is_made_by_the_next_request) {
    quarantine_content();
    const auto due = now + interval;
    trial_permit held;
    const auto keep_permit = [&held](trial_permit permit) { held = std::move(permit); };
    EXPECT_TRUE(m_guard.begin_trial(content_after_three, due, keep_permit));
    EXPECT_EQ(held, nullptr) << "the claim is not done";
    m_finish_claim(true);
    EXPECT_NE(held, nullptr);
    m_guard.set_trial_claimed(10, true, due);
    EXPECT_EQ(m_guard.trial_subject(fresh, due), std::nullopt) << "one at a time";
    held.reset();
    EXPECT_EQ(m_guard.trial_subject(fresh, due), content_after_three);
    EXPECT_TRUE(m_guard.begin_trial(content_after_three, due, keep_permit));
    EXPECT_NE(held, nullptr);
    EXPECT_THAT(m_claimed, ElementsAre(content_after_three));
}

// Guards against a further server that is lost to the claim of a trial which has lost one.
TEST_F(quarantine_trial_test, a_claim_ends_with_a_lost_server_and_after_the_interval) {
    quarantine_content();
    const auto due = now + interval;
    const auto ignore_permit = [](const trial_permit&) {};
    m_guard.begin_trial(content_after_three, due, ignore_permit);
    m_finish_claim(true);
    m_guard.set_trial_claimed(10, true, due);
    EXPECT_EQ(m_guard.trial_subject(fresh, due), content_after_three);
    m_guard.record_loss(fresh, m_guard.losses(fresh, due), due);
    EXPECT_EQ(m_guard.trial_subject({10, 8}, due + interval - std::chrono::milliseconds{1}), std::nullopt);
    m_guard.set_trial_claimed(10, false, due + interval);
    const auto next = m_guard.trial_subject({10, 8}, due + interval);
    EXPECT_EQ(next, (crash_count{10, 4}));
    m_guard.begin_trial(*next, due + interval, ignore_permit);
    EXPECT_EQ(m_claimed.size(), 2U) << "claimed again";
}

// Guards against trials that begin before the store has the key that keeps gateways from them, which older
// gateways do not write.
TEST_F(quarantine_trial_test, nothing_is_tried_within_the_interval_unless_the_store_has_told_of_the_losses) {
    quarantine_content();
    m_guard.merge({20, 3}, quarantine_source::peer, now);
    m_guard.apply({30, 0, false}, now); // of an older gateway
    m_guard.apply({40, 3, false}, now);
    const auto almost = now + interval - std::chrono::milliseconds{1};
    for (const std::uint64_t content : {10U, 20U, 30U}) {
        EXPECT_EQ(m_guard.trial_subject({content, 9}, almost), std::nullopt) << content;
        EXPECT_EQ(m_guard.trial_subject({content, 9}, now + interval), (crash_count{content, 3}));
    }
    EXPECT_EQ(m_guard.trial_subject({40, 9}, now), (crash_count{40, 3}));
}

// Guards against a fourth trial after three lost ones, because the store did not take the key that forbids
// it.
TEST_F(quarantine_trial_test, nothing_is_tried_after_three_lost_trials_whatever_the_store_knows) {
    quarantine_content();
    for (std::uint64_t trial = 0; trial < steering::crash_history::maximum_losses_in_trials; ++trial) {
        lose_server({10, 50 + trial});
    }
    m_guard.merge({20, 6}, quarantine_source::peer, now);
    const auto last = now + steering::crash_history_limits{}.expiry - std::chrono::milliseconds{1};
    EXPECT_EQ(m_guard.trial_subject(fresh, last), std::nullopt);
    EXPECT_EQ(m_guard.trial_subject({20, 9}, last), std::nullopt);
}

TEST_F(quarantine_trial_test, content_is_tried_only_with_variants_that_have_lost_nothing) {
    quarantine_content();
    EXPECT_EQ(m_guard.trial_subject(first, now + interval), std::nullopt);
}

TEST_F(quarantine_trial_test, a_variant_is_tried_by_itself) {
    for (int loss = 0; loss < 3; ++loss) {
        lose_server(first);
    }
    EXPECT_EQ(m_guard.trial_subject(first, now + interval), (crash_count{1, 3}));
    EXPECT_EQ(m_guard.trial_subject(fresh, now + interval), std::nullopt) << "not quarantined";
}

http_request sample_request() {
    http_request request{http::verb::post, "/book/7", 11};
    request.set(http::field::host, "h.example");
    request.set("Request-Id", "a1");
    request.body() = "counter 4";
    return request;
}

// Guards against a resend that is taken for other content, because its cookie or query has changed.
TEST(content_fingerprint_test, a_content_has_variants_by_query_and_object) {
    const auto original = fingerprints_of(sample_request(), "17");
    const auto other_object = fingerprints_of(sample_request(), "18");
    auto queried = sample_request();
    queried.target("/book/7?page=2");
    const auto other_query = fingerprints_of(queried, "17");
    EXPECT_EQ(other_object.content, original.content);
    EXPECT_EQ(other_query.content, original.content);
    EXPECT_NE(other_object.variant, original.variant);
    EXPECT_NE(other_query.variant, original.variant);
    EXPECT_NE(original.content, original.variant);
    EXPECT_EQ(original.content_with_query, 0U);
    EXPECT_EQ(original.content_with_object, 0U);
    const auto queried_other_object = fingerprints_of(queried, "18");
    EXPECT_EQ(other_query.content_with_query, queried_other_object.content_with_query);
    EXPECT_NE(other_query.content_with_object, queried_other_object.content_with_object);
    queried.target("/book/7?page=3");
    const auto third_page = fingerprints_of(queried, "17");
    EXPECT_EQ(third_page.content_with_object, other_query.content_with_object);
    EXPECT_NE(third_page.content_with_query, other_query.content_with_query);
    EXPECT_EQ(fingerprints_of(queried, "").content_with_query, 0U);
    auto changed = sample_request();
    changed.body() = "counter 5";
    EXPECT_NE(fingerprints_of(changed, "17").content, original.content);
    changed = sample_request();
    changed.target("/book/8");
    EXPECT_NE(fingerprints_of(changed, "17").content, original.content);
    changed = sample_request();
    changed.method(http::verb::put);
    EXPECT_NE(fingerprints_of(changed, "17").content, original.content);
}

// Guards against a resend that is taken for other content, or other content for a resend.
TEST(content_fingerprint_test, only_what_a_resend_repeats_counts) {
    const auto original = fingerprints_of(sample_request(), "17").variant;
    auto resent = sample_request();
    resent.set("Request-Id", "b2");
    resent.set("Deadline-Ms", "900");
    EXPECT_EQ(fingerprints_of(resent, "17").variant, original);
    EXPECT_NE(fingerprints_of(sample_request(), "18").variant, original);
    auto changed = sample_request();
    changed.body() = "counter 5";
    EXPECT_NE(fingerprints_of(changed, "17").variant, original);
    changed.body() += std::string(maximum_hashed_body_bytes, ' ');
    const auto large = fingerprints_of(changed, "17").variant;
    changed.body() += "5";
    EXPECT_NE(fingerprints_of(changed, "17").variant, large) << "only the size differs in what counts";
    changed = sample_request();
    changed.target("/book/8");
    EXPECT_NE(fingerprints_of(changed, "17").variant, original);
    changed = sample_request();
    changed.method(http::verb::put);
    EXPECT_NE(fingerprints_of(changed, "17").variant, original);
    changed = sample_request();
    changed.set(http::field::host, "i.example");
    EXPECT_NE(fingerprints_of(changed, "17").variant, original);
}

TEST(content_fingerprint_test, its_text_is_read_back_and_other_text_is_not) {
    EXPECT_EQ(fingerprint_from_text(to_text(0x0123456789abcdefU)), 0x0123456789abcdefU);
    EXPECT_EQ(fingerprint_from_text(to_text(0)), 0U);
    for (const auto* const text : {"", "12", "0123456789ABCDEF", "0123456789abcdeg", "00123456789abcdef"}) {
        EXPECT_EQ(fingerprint_from_text(text), std::nullopt) << text;
    }
}

} // namespace
} // namespace carawayway::gateway
