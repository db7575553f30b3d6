// Replication of the policy, as in section 7 of the design page. Guards against a policy that reverts to an
// older revision, and against a revision that an entry instance never requests.
#include "carawayway/membership/policy_replica.hpp"

#include <gtest/gtest.h>

namespace carawayway::membership {
namespace {

using namespace std::chrono_literals;

class policy_replica_test : public testing::Test {
protected:
    base::time_point m_now{1h};
    policy_replica m_replica{{}};
};

TEST_F(policy_replica_test, revisions_only_go_up) {
    EXPECT_EQ(m_replica.state(), readiness::not_ready);
    EXPECT_TRUE(m_replica.adopt(5, "five"));
    EXPECT_FALSE(m_replica.adopt(4, "four"));
    EXPECT_FALSE(m_replica.adopt(5, "another five"));
    EXPECT_EQ(m_replica.document(), "five");
    EXPECT_EQ(m_replica.state(), readiness::ready);
}

TEST_F(policy_replica_test, asks_a_peer_with_the_highest_revision_and_the_next_one_when_it_is_silent) {
    m_replica.observe_peer_revision("a", 3);
    m_replica.observe_peer_revision("b", 7);
    m_replica.observe_peer_revision("c", 7);
    EXPECT_EQ(m_replica.next_peer_to_ask(m_now), "b");
    EXPECT_EQ(m_replica.next_peer_to_ask(m_now + 499ms), std::nullopt);
    EXPECT_EQ(m_replica.next_peer_to_ask(m_now + 500ms), "c");
    // After all peers were asked, it starts over.
    EXPECT_EQ(m_replica.next_peer_to_ask(m_now + 1000ms), std::nullopt);
    EXPECT_EQ(m_replica.next_peer_to_ask(m_now + 1500ms), "b");
    m_replica.adopt(7, "seven");
    EXPECT_EQ(m_replica.next_peer_to_ask(m_now + 3000ms), std::nullopt);
}

TEST_F(policy_replica_test, a_newer_revision_is_asked_for_at_once) {
    m_replica.observe_peer_revision("a", 3);
    EXPECT_EQ(m_replica.next_peer_to_ask(m_now), "a");
    m_replica.observe_peer_revision("b", 4);
    EXPECT_EQ(m_replica.next_peer_to_ask(m_now + 1ms), "b");
}

TEST_F(policy_replica_test, a_rejected_revision_is_not_asked_for_again) {
    m_replica.observe_peer_revision("a", 3);
    m_replica.next_peer_to_ask(m_now);
    m_replica.reject(3);
    EXPECT_EQ(m_replica.next_peer_to_ask(m_now + 10s), std::nullopt);
    EXPECT_FALSE(m_replica.adopt(3, "three"));
}

TEST_F(policy_replica_test, two_live_entries_of_each_domain_watch_the_store_and_a_dead_one_is_replaced) {
    const auto record = [](int number) {
        return wire::member_record{"a-" + std::to_string(number),      "hki-a",          "uusimaa",
                                   static_cast<std::uint64_t>(number), {"127.0.0.1", 1}, {"127.0.0.1", 2}};
    };
    // The entry instances other than `dead` that choose to watch, each by its own member table.
    const auto watchers = [&](int dead) {
        std::vector<int> chosen;
        for (int self = 1; self <= 5; ++self) {
            member_table table(record(self), {}, m_now);
            for (int other = 1; other <= 5; ++other) {
                if (other != self) {
                    table.link_up(record(other), m_now);
                }
            }
            table.connect_failed("a-" + std::to_string(dead), contact_failure::refused, m_now);
            if (self != dead && m_replica.choose_store_role(table) == store_role::watcher) {
                chosen.push_back(self);
            }
        }
        return chosen;
    };
    const auto before = watchers(0);
    ASSERT_EQ(before.size(), 2U);
    const auto after = watchers(before.front());
    EXPECT_EQ(after.size(), 2U);
    EXPECT_NE(after, before);
}

} // namespace
} // namespace carawayway::membership
