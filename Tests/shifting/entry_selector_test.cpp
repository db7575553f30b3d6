// Guards against a spill-over order that puts distant or unusable entry instances first, against many senders
// that choose the same target, and against lookup answers with draining entry instances.
#include "carawayway/shifting/entry_selector.hpp"

#include <gtest/gtest.h>

#include <map>
#include <set>

namespace carawayway::shifting {
namespace {

using namespace std::chrono_literals;
using names = std::vector<std::string>;

entry_summary summary(std::string entry, std::string domain, std::string region,
                      std::uint32_t free_slots = 4) {
    entry_summary result{std::move(entry), std::move(domain), std::move(region), free_slots};
    result.link_limit = 64;
    return result;
}

class entry_selector_test : public testing::Test {
protected:
    names order(const std::vector<entry_summary>& summaries) {
        names result;
        for (const auto& candidate : spill_over_order(m_request, summaries, m_limits, m_random)) {
            result.push_back(candidate.entry);
        }
        return result;
    }

    spill_over_request m_request{"hki-a", "uusimaa", "pirkanmaa", {}, 100ms};
    selector_limits m_limits{2s, 10ms};
    std::mt19937_64 m_random{20261203};
};

TEST_F(entry_selector_test, near_entries_come_first_and_those_outside_the_home_region_are_marked) {
    const std::vector<entry_summary> summaries{
        summary("oulu", "oulu-a", "pohjanmaa", 100), summary("tampere", "tre-a", "pirkanmaa"),
        summary("same-region", "hki-b", "uusimaa"), summary("same-domain", "hki-a", "uusimaa", 1)};
    EXPECT_EQ(order(summaries), (names{"same-domain", "same-region", "tampere", "oulu"}));
    const auto candidates = spill_over_order(m_request, summaries, m_limits, m_random);
    EXPECT_EQ(candidates[0].crossing, region_crossing::leaves_home_region);
    EXPECT_EQ(candidates[2].crossing, region_crossing::serves_home_region);
}

TEST_F(entry_selector_test, unusable_entries_are_left_out) {
    std::vector<entry_summary> summaries(7, summary("x", "tre-a", "pirkanmaa"));
    summaries[0].sent_since_summary = 4;
    summaries[1].queued = 5;
    summaries[2].link_in_flight = 64;
    summaries[3].round_trip = 91ms;
    summaries[4].state = config::administrative_state::draining;
    summaries[5].region = "pohjanmaa";
    summaries[6].entry = "good";
    summaries[6].round_trip = 90ms;
    const names allowed{"pirkanmaa"};
    m_request.allowed_regions = allowed;
    EXPECT_EQ(order(summaries), names{"good"});
}

TEST_F(entry_selector_test, stale_summaries_are_used_only_without_fresh_candidates) {
    std::vector<entry_summary> summaries{summary("stale", "hki-a", "uusimaa"),
                                         summary("fresh", "oulu-a", "pohjanmaa")};
    summaries[0].age = 2s + 1ns;
    EXPECT_EQ(order(summaries), names{"fresh"});
    summaries.pop_back();
    EXPECT_EQ(order(summaries), names{"stale"});
}

TEST_F(entry_selector_test, equally_distant_entries_are_in_random_order_weighted_by_available_slots) {
    const std::vector<entry_summary> summaries{summary("small", "tre-a", "pirkanmaa", 10),
                                               summary("large", "tre-b", "pirkanmaa", 30)};
    int large_first = 0;
    for (int round = 0; round < 4000; ++round) {
        large_first += order(summaries).front() == "large" ? 1 : 0;
    }
    EXPECT_NEAR(large_first, 3000, 150);
}

TEST(lookup_order_test, callers_get_their_home_region_first_and_spread_over_it) {
    std::vector<known_entry> entries;
    entries.reserve(10);
    for (int index = 0; index < 10; ++index) {
        entries.push_back({"e" + std::to_string(index), "d", index < 5 ? "uusimaa" : "ege"});
    }
    entries[0].state = entry_state::stopping;
    entries[1].state = entry_state::draining;
    std::map<std::size_t, int> first;
    std::map<std::size_t, std::set<std::size_t>> second;
    for (int client = 0; client < 3000; ++client) {
        const std::string address = "192.0.2." + std::to_string(client);
        const auto order = lookup_order("uusimaa", address, entries);
        ASSERT_EQ(order.size(), 8U);
        EXPECT_EQ(order, lookup_order("uusimaa", address, entries));
        EXPECT_TRUE(std::all_of(order.begin(), order.begin() + 3,
                                [](auto index) { return index >= 2 && index < 5; }));
        ++first[order[0]];
        second[order[0]].insert(order[1]);
    }
    for (const auto& [index, count] : first) {
        EXPECT_NEAR(count, 1000, 150);
        EXPECT_EQ(second[index].size(), 2U)
            << "otherwise all callers of a lost entry would move to the same other entry";
    }
}

} // namespace
} // namespace carawayway::shifting
