// Guards the view of who is alive: a dead member that looks alive blocks its servers, and a live one that
// looks dead loses them.
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

    // Ticks as often as a process that runs does.
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

TEST_F(member_table_test, a_relayed_counter_that_grows_is_progress_and_one_that_stands_is_not) {
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

TEST_F(member_table_test, late_news_of_a_replaced_incarnation_is_ignored) {
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

TEST_F(member_table_test, an_own_pause_is_not_counted_as_silence_of_the_others) {
    m_table.link_up(record("a-2", 7), m_now);
    advance(200ms);
    m_now += 60s;
    m_table.tick(m_now);
    EXPECT_EQ(status("a-2"), member_status::alive);
}

TEST_F(member_table_test, dead_members_are_forgotten_but_seeds_are_not) {
    m_table.add_seed(record("a-2", 0), m_now);
    m_table.learn(record("a-3", 8), m_now);
    advance(11min);
    EXPECT_NE(m_table.find("a-2"), nullptr);
    EXPECT_EQ(m_table.find("a-3"), nullptr);
}

TEST_F(member_table_test, counters_are_relayed_in_turn_and_only_where_they_are_news) {
    for (std::uint64_t number = 2; number < 12; ++number) {
        const auto name = "a-" + std::to_string(number);
        m_table.link_up(record(name, number), m_now);
        m_table.heartbeat(name, number, beat(1), m_now);
    }
    m_table.link_up(record("b-1", 20, "hki-b"), m_now);
    m_table.learn(record("c-1", 30, "tre-a"), m_now);
    // The counter of c-1 comes over a detour: others nearer to it relay it.
    m_table.heartbeat("b-1", 20, beat(1, {{"c-1", 30, 1}}), m_now);
    m_table.heartbeat("b-1", 20, beat(2, {{"c-1", 30, 2}}), m_now);
    std::map<std::string, int> outward;
    std::map<std::string, int> inward;
    for (int round = 0; round < 5; ++round) {
        const relay_counters counters = m_table.next_counters_to_relay(4);
        for (const auto& counter : counters.for_other_domains) {
            ++outward[counter.entry];
        }
        for (const auto& counter : counters.for_own_domain) {
            ++inward[counter.entry];
        }
    }
    EXPECT_EQ(outward.size(), 10U);
    EXPECT_TRUE(
        std::all_of(outward.begin(), outward.end(), [](const auto& item) { return item.second == 2; }));
    EXPECT_EQ(inward.size(), 6U); // five of the own domain in five rounds, and b-1
    EXPECT_EQ(inward["b-1"], 5);
}

// Each of 60 entry instances in 6 failure domains and 3 regions evaluates the rule alone.
TEST(needed_links_test, the_links_are_few_and_connect_all_failure_domains) {
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
        // The own domain is a full mesh; between two others two delegates of each side are linked.
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

// Otherwise the pause of the delegates would look like the death of their whole failure domain.
TEST(needed_links_test, silent_delegates_of_a_neighbour_domain_are_bypassed) {
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
