// Server ownership, as in section 5 of the design page. Guards against two entry instances that dispatch to
// one server at the same time, which exceeds its slots, and against servers without an owner, which are lost
// capacity.
#include "Tests/membership/ownership_harness.hpp"
#include "carawayway/membership/server_ownership.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <random>

namespace carawayway::membership {
namespace {

using namespace std::chrono_literals;

const std::vector<std::pair<std::string, std::string>> three_entries{
    {"a-1", "hki-a"}, {"a-2", "hki-a"}, {"a-3", "hki-a"}};

std::vector<std::pair<std::string, std::string>> servers_in(const std::string& domain, int count) {
    std::vector<std::pair<std::string, std::string>> servers;
    for (int number = 1; number <= count; ++number) {
        servers.emplace_back(domain + "-server-" + std::to_string(number), domain);
    }
    return servers;
}

// Three entry instances of one failure domain that share nine servers.
class server_ownership_test : public testing::Test {
protected:
    server_ownership_test() {
        m_harness.add_entries(three_entries);
        m_harness.add_servers(servers_in("hki-a", 9));
        m_harness.set_load(load::long_requests);
        for (const auto& [name, domain] : three_entries) {
            m_harness.start(name);
        }
        m_harness.run_until([this] { return m_harness.owned_servers() == 9; }, 10s);
    }

    void TearDown() override { EXPECT_THAT(m_harness.violations(), testing::IsEmpty()); }

    std::vector<std::string> servers_of(const std::string& entry) const {
        std::vector<std::string> owned;
        for (const auto& [server, domain] : servers_in("hki-a", 9)) {
            if (m_harness.owns(entry, server)) {
                owned.push_back(server);
            }
        }
        return owned;
    }

    ownership_harness m_harness{{}};
};

TEST_F(server_ownership_test, all_servers_get_an_owner_and_shares_are_equal) {
    EXPECT_EQ(m_harness.owned_servers(), 9U);
    for (const auto& [name, domain] : three_entries) {
        EXPECT_EQ(m_harness.owned_by(name), 3U) << name;
    }
}

TEST_F(server_ownership_test, capacity_is_back_within_three_seconds_of_a_certain_death) {
    m_harness.kill("a-2");
    const auto time = m_harness.run_until([this] { return m_harness.owned_servers() == 9; }, 10s);
    EXPECT_LE(base::to_milliseconds(time), 3000);
    EXPECT_GE(base::to_milliseconds(time), 2200); // its last requests may run until then
}

TEST_F(server_ownership_test, a_silent_owner_is_replaced_after_term_and_longest_timeout) {
    m_harness.pause("a-2");
    const auto time = m_harness.run_until([this] { return m_harness.owned_servers() == 9; }, 20s);
    EXPECT_GE(base::to_milliseconds(time), 4700); // the last heartbeat may be one interval old
    EXPECT_LE(base::to_milliseconds(time), 6500);
}

TEST_F(server_ownership_test, a_resumed_owner_does_not_dispatch_before_its_peers_answer) {
    const auto before = servers_of("a-2");
    m_harness.pause("a-2");
    m_harness.run_for(800ms);
    m_harness.resume("a-2");
    EXPECT_TRUE(servers_of("a-2").empty());
    m_harness.run_for(10ms);
    EXPECT_TRUE(servers_of("a-2").empty());
    const auto time = m_harness.run_until([&] { return servers_of("a-2") == before; }, 10s);
    EXPECT_LE(base::to_milliseconds(time), 300);
}

TEST_F(server_ownership_test, an_owner_that_resumes_after_the_takeover_keeps_nothing) {
    const auto before = servers_of("a-2");
    m_harness.pause("a-2");
    m_harness.run_until([this] { return m_harness.owned_servers() == 9; }, 20s);
    m_harness.resume("a-2");
    for (int count = 0; count < 20; ++count) {
        m_harness.run_for(10ms);
        EXPECT_TRUE(servers_of("a-2").empty());
    }
    // Later the others release its share.
    m_harness.run_until([this] { return m_harness.owned_by("a-2") == 3; }, 60s);
    EXPECT_EQ(m_harness.owned_by("a-2"), 3U);
}

TEST_F(server_ownership_test, a_restarted_entry_gets_its_share_back_by_release) {
    m_harness.kill("a-2");
    m_harness.run_for(200ms);
    m_harness.start("a-2");
    m_harness.run_until([this] { return m_harness.owned_by("a-2") == 3; }, 60s);
    EXPECT_EQ(m_harness.owned_by("a-2"), 3U);
    EXPECT_EQ(m_harness.owned_servers(), 9U);
}

TEST_F(server_ownership_test, a_planned_stop_hands_over_all_servers_without_a_takeover_wait) {
    m_harness.stop("a-2");
    const auto time = m_harness.run_until([this] { return m_harness.owned_servers() == 9; }, 10s);
    EXPECT_LE(base::to_milliseconds(time), 3000); // requests in flight take up to two seconds
    EXPECT_EQ(m_harness.owned_by("a-2"), 0U);
}

TEST_F(server_ownership_test, a_server_that_leaves_the_policy_is_released) {
    const auto removed = servers_of("a-1").front();
    std::vector<claimable_server> rest;
    for (const auto& [name, domain] : servers_in("hki-a", 9)) {
        if (name != removed) {
            rest.push_back({name, "varaus", domain, "uusimaa"});
        }
    }
    for (const auto& [name, domain] : three_entries) {
        m_harness.ownership(name).configure(rest, 2s);
    }
    m_harness.run_for(3s);
    EXPECT_EQ(m_harness.owner_of(removed), "");
    EXPECT_EQ(m_harness.owned_servers(), 8U);
}

// One entry instance in hki-b and two in hki-a, which is in the same region.
class region_takeover_test : public testing::Test {
protected:
    region_takeover_test() {
        m_harness.add_entries({{"a-1", "hki-a"}, {"a-2", "hki-a"}, {"b-1", "hki-b"}});
        m_harness.add_servers(servers_in("hki-b", 4));
        m_harness.set_load(load::long_requests);
        m_harness.set_reachable([this](const std::string& entry, std::string_view) {
            return m_entries_with_access.contains(entry);
        });
        for (const auto* name : {"a-1", "a-2", "b-1"}) {
            m_harness.start(name);
        }
        m_harness.run_until([this] { return m_harness.owned_by("b-1") == 4; }, 10s);
        m_harness.kill("b-1");
    }

    void TearDown() override { EXPECT_THAT(m_harness.violations(), testing::IsEmpty()); }

    ownership_harness m_harness{{}};
    std::set<std::string> m_entries_with_access;
};

TEST_F(region_takeover_test,
       the_servers_of_a_domain_without_entries_are_taken_over_by_another_domain_of_the_region) {
    m_entries_with_access = {"a-1", "a-2"};
    const auto time = m_harness.run_until([this] { return m_harness.owned_servers() == 4; }, 10s);
    EXPECT_LE(base::to_milliseconds(time), 3000);
}

TEST_F(region_takeover_test, the_only_entry_that_reaches_the_servers_takes_all_of_them) {
    m_entries_with_access = {"a-2"};
    m_harness.run_until([this] { return m_harness.owned_by("a-2") == 4; }, 10s);
    EXPECT_EQ(m_harness.owned_by("a-2"), 4U);
}

TEST_F(region_takeover_test, servers_that_no_entry_reaches_stay_without_an_owner) {
    m_harness.run_for(20s);
    EXPECT_EQ(m_harness.owned_servers(), 0U);
}

TEST_F(region_takeover_test, a_domain_gets_its_servers_back_when_one_of_its_entries_runs_again) {
    m_entries_with_access = {"a-1", "a-2"};
    m_harness.run_until([this] { return m_harness.owned_servers() == 4; }, 10s);
    m_harness.start("b-1");
    m_harness.run_until([this] { return m_harness.owned_by("b-1") == 4; }, 60s);
    EXPECT_EQ(m_harness.owned_by("b-1"), 4U);
}

// Kills, pauses and restarts five entry instances in two failure domains at random for some minutes of
// virtual time.
std::vector<std::string> run_random_faults(harness_settings settings) {
    const std::vector<std::pair<std::string, std::string>> entries{
        {"a-1", "hki-a"}, {"a-2", "hki-a"}, {"a-3", "hki-a"}, {"b-1", "hki-b"}, {"b-2", "hki-b"}};
    ownership_harness harness(settings);
    harness.add_entries(entries);
    harness.add_servers(servers_in("hki-a", 6));
    harness.add_servers(servers_in("hki-b", 3));
    harness.set_load(load::long_requests);
    harness.set_reachable([](const std::string&, std::string_view) { return true; });
    std::mt19937_64 random(settings.seed);
    for (const auto& [name, domain] : entries) {
        harness.start(name);
        harness.run_for(std::chrono::milliseconds(random() % 500));
    }
    for (int fault = 0; fault < 60; ++fault) {
        harness.run_for(std::chrono::milliseconds(random() % 3000));
        const auto& name = entries.at(random() % entries.size()).first;
        if (harness.paused(name)) {
            harness.resume(name);
        } else if (!harness.running(name)) {
            harness.start(name);
        } else if (random() % 2 == 0) {
            harness.pause(name);
        } else {
            harness.kill(name);
            if (random() % 2 == 0) {
                harness.run_for(std::chrono::milliseconds(random() % 200));
                harness.start(name);
            }
        }
    }
    for (const auto& [name, domain] : entries) {
        if (harness.paused(name)) {
            harness.resume(name);
        } else if (!harness.running(name)) {
            harness.start(name);
        }
    }
    harness.run_until([&harness] { return harness.owned_servers() == 9; }, 60s);
    std::vector<std::string> violations = harness.violations();
    if (harness.owned_servers() != 9) {
        violations.emplace_back("servers without an owner after the faults");
    }
    return violations;
}

TEST(ownership_property_test, no_two_entries_use_one_server_under_random_faults) {
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        harness_settings settings;
        settings.seed = seed;
        EXPECT_THAT(run_random_faults(settings), testing::IsEmpty()) << "seed " << seed;
    }
}

// Only one entry instance of each failure domain has links to the other domain. The others know that domain
// only from relayed counters.
TEST(ownership_property_test, no_two_entries_use_one_server_when_failure_domains_are_linked_by_delegates) {
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        harness_settings settings;
        settings.seed = seed;
        settings.full_mesh_limit = 0;
        settings.delegates = 1;
        EXPECT_THAT(run_random_faults(settings), testing::IsEmpty()) << "seed " << seed;
    }
}

// Shows that the check detects two owners if an entry instance does not wait after its start.
TEST(ownership_property_test, without_the_start_hold_a_server_is_used_twice) {
    std::size_t violations = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        harness_settings settings;
        settings.seed = seed;
        settings.ownership.hold = start_hold::none;
        violations += run_random_faults(settings).size();
    }
    EXPECT_GT(violations, 0U);
}

// Shows that the check detects a takeover that does not wait for the requests of a silent owner to end.
TEST(ownership_property_test, without_the_term_a_server_is_used_twice) {
    std::size_t violations = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        harness_settings settings;
        settings.seed = seed;
        settings.ownership.term = -1500ms;
        violations += run_random_faults(settings).size();
    }
    EXPECT_GT(violations, 0U);
}

} // namespace
} // namespace carawayway::membership
