// Guards against content that crashes one server after the other, and against harmless content that is
// quarantined because it was in flight on a lost server.
#include "carawayway/steering/crash_guard.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>
#include <set>

namespace carawayway::steering {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

const base::time_point start{seconds{1000}};

// Two entry instances exchange their strikes; content 0 crashes every server that runs it.
RC_GTEST_PROP(crash_guard_test,
              content_that_crashes_servers_takes_down_at_most_two_and_other_content_is_cleared, ()) {
    std::mt19937_64 random{*rc::gen::arbitrary<std::uint64_t>()};
    crash_guard first("entry-a", {});
    crash_guard second("entry-b", {});
    std::uint32_t lost_servers = 0;
    base::time_point now = start;
    const auto send = [&](crash_guard& receiver, const std::vector<strike>& strikes) {
        for (const strike& sent : strikes) {
            receiver.merge(sent, now);
        }
    };
    for (int round = 0; round < 300; ++round, now += std::chrono::milliseconds{100}) {
        const bool uses_first = random() % 2 == 0;
        crash_guard& local = uses_first ? first : second;
        crash_guard& peer = uses_first ? second : first;
        std::vector<std::uint64_t> shared; // contents in flight together on one server
        for (int request = 0; request < 3; ++request) {
            const std::uint64_t content = random() % 8;
            const guard_verdict verdict = local.check(content, now);
            if (verdict == guard_verdict::clear) {
                shared.push_back(content);
            } else if (verdict == guard_verdict::run_isolated) {
                local.begin_isolated_run(content);
                RC_ASSERT(local.check(content, now) == guard_verdict::refuse_busy);
                if (content == 0) {
                    ++lost_servers;
                    send(peer, local.record_server_loss(std::vector{content}, isolation::isolated, now));
                } else if (const auto cleared = local.record_answer(content, now)) {
                    peer.clear(cleared->fingerprint, cleared->recorded_by);
                }
            }
        }
        if (std::find(shared.begin(), shared.end(), 0U) != shared.end()) {
            ++lost_servers;
            send(peer, local.record_server_loss(shared, isolation::shared, now));
        }
    }
    RC_ASSERT(lost_servers == 2U);
    RC_ASSERT(first.check(0, now) == guard_verdict::refuse_quarantined);
    RC_ASSERT(second.check(0, now) == guard_verdict::refuse_quarantined);
    for (std::uint64_t content = 1; content < 8; ++content) {
        RC_ASSERT(first.check(content, now) == guard_verdict::clear);
        RC_ASSERT(second.check(content, now) == guard_verdict::clear);
    }
    RC_ASSERT(first.check(0, now + minutes{11}) == guard_verdict::clear);
}

TEST(crash_guard_test, losses_with_several_contents_in_flight_quarantine_none) {
    crash_guard guard("entry-a", {});
    guard.record_server_loss(std::vector<std::uint64_t>{1, 2}, isolation::shared, start);
    guard.record_server_loss(std::vector<std::uint64_t>{1, 2}, isolation::shared, start);
    EXPECT_EQ(guard.check(1, start), guard_verdict::run_isolated);
    EXPECT_TRUE(guard.record_answer(1, start).has_value());
    EXPECT_EQ(guard.check(1, start), guard_verdict::clear);
    EXPECT_EQ(guard.check(2, start), guard_verdict::run_isolated);
}

TEST(crash_guard_test, an_inconclusive_isolated_run_leaves_the_content_suspect) {
    crash_guard guard("entry-a", {});
    guard.record_server_loss(std::vector<std::uint64_t>{1}, isolation::shared, start);
    guard.begin_isolated_run(1);
    EXPECT_EQ(guard.check(1, start), guard_verdict::refuse_busy);
    guard.abandon_isolated_run(1);
    EXPECT_EQ(guard.check(1, start), guard_verdict::run_isolated);
}

TEST(crash_guard_test, two_recorders_agree_on_one_and_the_other_takes_over_when_it_clears) {
    crash_guard first("entry-a", {});
    crash_guard second("entry-b", {});
    const auto from_first =
        first.record_server_loss(std::vector<std::uint64_t>{1, 2}, isolation::shared, start);
    const auto from_second =
        second.record_server_loss(std::vector<std::uint64_t>{1, 3}, isolation::shared, start);
    second.merge(from_first.front(), start);
    EXPECT_EQ(second.check(1, start), guard_verdict::refuse_recorded_by_peer);
    EXPECT_GT(second.retry_after(1, start), base::duration::zero());
    // The strike of the second entry instance arrives after the first has cleared its own.
    const auto cleared = first.record_answer(1, start);
    ASSERT_TRUE(cleared.has_value());
    first.merge(from_second.front(), start);
    second.clear(cleared->fingerprint, cleared->recorded_by);
    EXPECT_EQ(second.check(1, start), guard_verdict::run_isolated)
        << "otherwise no entry instance could clear it";
    const auto cleared_again = second.record_answer(1, start);
    ASSERT_TRUE(cleared_again.has_value());
    first.clear(cleared_again->fingerprint, cleared_again->recorded_by);
    EXPECT_EQ(first.check(1, start), guard_verdict::clear);
}

TEST(crash_guard_test, a_full_table_keeps_quarantined_records) {
    crash_guard guard("entry-a", {2, minutes{10}, seconds{1}, seconds{1}});
    guard.merge({1, 2, "entry-b"}, start);
    guard.merge({2, 1, "entry-b"}, start);
    guard.merge({3, 2, "entry-b"}, start);
    EXPECT_EQ(guard.check(2, start), guard_verdict::clear) << "the suspect was evicted";
    guard.record_server_loss(std::vector<std::uint64_t>{4}, isolation::shared, start);
    EXPECT_EQ(guard.check(1, start), guard_verdict::refuse_quarantined);
    EXPECT_EQ(guard.check(3, start), guard_verdict::refuse_quarantined);
    EXPECT_EQ(guard.size(), 2U);
}

} // namespace
} // namespace carawayway::steering
