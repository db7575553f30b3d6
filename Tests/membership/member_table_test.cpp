// Guards the status of members: a dead member that counts as alive keeps its servers from being taken over,
// and a live member that counts as dead loses its servers.
#include "carawayway/membership/member_table.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace carawayway::membership {
namespace {

using namespace std::chrono_literals;

wire::member_record record(const std::string& name, std::uint64_t incarnation,
                           const std::string& domain = "hki-a", const std::string& region = "uusimaa") {
    return {name, domain, region, incarnation, {"127.0.0.1", 1}, {"127.0.0.1", 2}};
}

wire::heartbeat beat(std::uint64_t counter, std::vector<wire::relayed_counter> relayed = {}) {
    return {counter, wire::running_state::running, 1, std::nullopt, std::move(relayed)};
}

class member_table_test : public testing::Test {
protected:
    member_status status(const std::string& name) const { return m_table.find(name)->status; }

    // Advances time with ticks as frequent as in a running process.
    void advance(base::duration time) {
        for (const auto end = m_now + time; m_now < end;) {
            m_now += 100ms;
            m_table.tick(m_now);
        }
    }

    base::time_point m_now{1h};
    member_table m_table{record("a-1", 1), {}, m_now};
};

TEST_F(member_table_test, silence_makes_a_member_suspected_and_then_dead_and_progress_revives_it) {
    m_table.link_up(record("a-2", 7), m_now);
    EXPECT_EQ(status("a-2"), member_status::alive);
    advance(1100ms);
    EXPECT_EQ(status("a-2"), member_status::suspected);
    advance(4s);
    EXPECT_EQ(status("a-2"), member_status::dead_by_silence);
    m_table.heartbeat("a-2", 7, beat(3), m_now);
    EXPECT_EQ(status("a-2"), member_status::alive);
}

TEST_F(member_table_test, only_a_refused_connection_is_certain_evidence) {
    m_table.link_up(record("a-2", 7), m_now);
    advance(1500ms);
    m_table.connect_failed("a-2", contact_failure::timed_out, m_now);
    EXPECT_EQ(status("a-2"), member_status::suspected);
    m_table.connect_failed("a-2", contact_failure::handshake_timed_out, m_now);
    EXPECT_EQ(status("a-2"), member_status::paused);
    m_table.connect_failed("a-2", contact_failure::refused, m_now);
    EXPECT_EQ(status("a-2"), member_status::dead_certain);
}

TEST_F(member_table_test, only_a_relayed_counter_that_grows_is_progress) {
    m_table.link_up(record("a-2", 7), m_now);
    m_table.link_up(record("a-3", 8), m_now);
    m_table.heartbeat("a-3", 8, beat(1), m_now);
    for (std::uint64_t counter = 1; counter <= 30; ++counter) {
        advance(250ms);
        m_table.heartbeat("a-2", 7, beat(counter, {{"a-3", 8, 1}}), m_now);
    }
    EXPECT_EQ(status("a-3"), member_status::dead_by_silence);
    m_table.heartbeat("a-2", 7, beat(31, {{"a-3", 8, 2}}), m_now);
    EXPECT_EQ(status("a-3"), member_status::alive);
}

TEST_F(member_table_test, late_counters_of_a_replaced_incarnation_are_ignored) {
    m_table.link_up(record("a-2", 7), m_now);
    m_table.link_up(record("a-2", 9), m_now);
    m_table.heartbeat("a-2", 7, beat(50), m_now);
    m_table.learn(record("a-2", 7), m_now);
    m_table.link_up(record("a-3", 8), m_now);
    m_table.heartbeat("a-3", 8, beat(1, {{"a-2", 7, 51}}), m_now);
    m_table.heartbeat("a-3", 8, beat(2, {{"a-2", 7, 52}}), m_now);
    EXPECT_EQ(m_table.find("a-2")->record.incarnation, 9U);
    EXPECT_EQ(m_table.find("a-2")->counter, 0U);
}

TEST_F(member_table_test, a_pause_of_this_process_is_not_counted_as_silence_of_the_others) {
    m_table.link_up(record("a-2", 7), m_now);
    advance(200ms);
    m_now += 60s;
    m_table.tick(m_now);
    EXPECT_EQ(status("a-2"), member_status::alive);
}

TEST_F(member_table_test, dead_members_other_than_seeds_are_removed) {
    m_table.add_seed(record("a-2", 0), m_now);
    m_table.learn(record("a-3", 8), m_now);
    advance(11min);
    EXPECT_NE(m_table.find("a-2"), nullptr);
    EXPECT_EQ(m_table.find("a-3"), nullptr);
}

TEST_F(member_table_test, counters_are_relayed_round_robin_and_only_by_those_that_received_them_directly) {
    for (std::uint64_t number = 2; number < 12; ++number) {
        const auto name = "a-" + std::to_string(number);
        m_table.link_up(record(name, number), m_now);
        m_table.heartbeat(name, number, beat(1), m_now);
    }
    m_table.link_up(record("b-1", 20, "hki-b"), m_now);
    m_table.learn(record("c-1", 30, "tre-a"), m_now);
    // This counter of c-1 is not relayed further, because b-1 is not in the domain of c-1.
    m_table.heartbeat("b-1", 20, beat(1, {{"c-1", 30, 1}}), m_now);
    m_table.heartbeat("b-1", 20, beat(2, {{"c-1", 30, 2}}), m_now);
    std::map<std::string, int> for_other_domains;
    std::map<std::string, int> for_own_domain;
    for (int round = 0; round < 5; ++round) {
        const relay_counters counters = m_table.next_counters_to_relay(4);
        for (const auto& counter : counters.for_other_domains) {
            ++for_other_domains[counter.entry];
        }
        for (const auto& counter : counters.for_own_domain) {
            ++for_own_domain[counter.entry];
        }
    }
    EXPECT_EQ(for_other_domains.size(), 10U);
    EXPECT_TRUE(std::all_of(for_other_domains.begin(), for_other_domains.end(),
                            [](const auto& item) { return item.second == 2; }));
    EXPECT_EQ(for_own_domain.size(), 6U); // five of the own domain in five rounds, and b-1
    EXPECT_EQ(for_own_domain["b-1"], 5);
}

// Each of 60 entry instances in 6 failure domains and 3 regions selects its links on its own.
TEST(needed_links_test, delegates_connect_all_failure_domains_with_few_links) {
    std::vector<wire::member_record> all;
    for (int number = 0; number < 60; ++number) {
        const int domain = number % 6;
        all.push_back(record("entry-" + std::to_string(number), 1 + static_cast<std::uint64_t>(number),
                             "domain-" + std::to_string(domain), "region-" + std::to_string(domain / 2)));
    }
    const base::time_point now{1h};
    std::map<std::pair<std::string, std::string>, int> domain_links;
    std::size_t most = 0;
    for (const auto& self : all) {
        member_table table(self, {}, now);
        for (const auto& other : all) {
            if (other.name != self.name) {
                table.link_up(other, now);
            }
        }
        const auto links = table.needed_links();
        most = std::max(most, links.size());
        for (const auto& link : links) {
            ++domain_links[{self.failure_domain, link.failure_domain}];
        }
    }
    EXPECT_LE(most, 9U + 5U * 2U);
    EXPECT_EQ(domain_links.size(), 36U);
    for (const auto& [domains, links] : domain_links) {
        // A domain is a full mesh of 10 entry instances. Between two domains, two delegates of each are
        // linked.
        EXPECT_EQ(links, domains.first == domains.second ? 90 : 4);
    }
}

TEST(needed_links_test, up_to_sixteen_entries_are_a_full_mesh) {
    const base::time_point now{1h};
    member_table table(record("entry-0", 1), {}, now);
    for (int number = 1; number < 16; ++number) {
        table.link_up(record("entry-" + std::to_string(number), 1, "domain-" + std::to_string(number % 6)),
                      now);
    }
    EXPECT_EQ(table.needed_links().size(), 15U);
    table.link_up(record("entry-16", 1, "domain-1"), now);
    EXPECT_LT(table.needed_links().size(), 16U);
}

// Guards against taking a pause of the delegates for the death of their whole failure domain.
TEST(needed_links_test, silent_delegates_of_another_domain_are_bypassed) {
    base::time_point now{1h};
    member_settings settings;
    settings.full_mesh_limit = 0;
    member_table table(record("a-1", 1, "hki-a"), settings, now);
    for (int number = 1; number <= 5; ++number) {
        table.link_up(record("b-" + std::to_string(number), 1, "hki-b"), now);
    }
    const auto links = table.needed_links();
    ASSERT_EQ(links.size(), 2U);
    for (int count = 0; count < 12; ++count) {
        now += 100ms;
        table.tick(now);
        for (int number = 1; number <= 5; ++number) {
            const auto name = "b-" + std::to_string(number);
            if (name != links.front().name) {
                table.message_received(name, 1, now);
            }
        }
    }
    const auto others = table.needed_links();
    EXPECT_EQ(others.size(), 2U);
    EXPECT_TRUE(std::none_of(others.begin(), others.end(),
                             [&](const auto& one) { return one.name == links.front().name; }));
    now += 400ms;
    for (int count = 0; count < 12; ++count) {
        now += 100ms;
        table.tick(now);
    }
    EXPECT_EQ(table.needed_links().size(), 5U);
}

} // namespace
} // namespace carawayway::membership
