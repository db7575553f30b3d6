// Guards the rates that shift caps are computed from: with stale summaries, a cap would allow traffic that no
// longer exists.
#include "carawayway/membership/summary_table.hpp"

#include <gtest/gtest.h>

namespace carawayway::membership {
namespace {

using namespace std::chrono_literals;

wire::entry_summary rates(std::vector<wire::home_rate> home_rates) {
    return {{{"varaus", 3, 12, 9, 0, 8000, std::move(home_rates)}}, {}};
}

TEST(summary_table_test, rates_add_up_over_recent_summaries_and_expire) {
    const base::time_point now{1h};
    summary_table table(3s);
    EXPECT_EQ(table.region_rate("varaus", "uusimaa", now), std::nullopt);
    table.update("a", rates({{"uusimaa", 10}, {"pirkanmaa", 1}}), now);
    table.update("b", rates({{"uusimaa", 5}}), now + 2s);
    EXPECT_EQ(table.region_rate("varaus", "uusimaa", now + 2s), 15);
    EXPECT_EQ(table.region_rate("varaus", "pohjanmaa", now + 2s), 0);
    EXPECT_EQ(table.region_rate("siirto", "uusimaa", now + 2s), std::nullopt);
    EXPECT_EQ(table.region_rate("varaus", "uusimaa", now + 4s), 5);
    EXPECT_EQ(table.find("a", now + 4s), nullptr);
    table.update("b", rates({{"uusimaa", 6}}), now + 4s);
    EXPECT_EQ(table.region_rate("varaus", "uusimaa", now + 4s), 6);
    table.remove("b");
    EXPECT_EQ(table.region_rate("varaus", "uusimaa", now + 4s), std::nullopt);
}

} // namespace
} // namespace carawayway::membership
