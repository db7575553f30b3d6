// Tests that look-up responses are still useful to callers whose home region is lost.
#include "carawayway/engine/entry_engine.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>

namespace carawayway::engine_test {
namespace {

constexpr const char* policy_text = "[policy]\nchange_id = a\n[region north]\n[region south]\n"
                                    "[domain n]\nregion = north\n[domain s]\nregion = south\n"
                                    "[service stock]\nsemantics = idempotent\n"
                                    "[server stock-1]\nservice = stock\ndomain = n\naddress = 127.0.0.9:80\n"
                                    "[client_blocks]\n10.0.0.0/8 = north\n";

wire::hello hello_of(const std::string& name, bool north) {
    wire::hello hello;
    hello.name = name;
    hello.failure_domain = north ? "n" : "s";
    hello.region = north ? "north" : "south";
    hello.incarnation = 7;
    hello.caller_address = {"127.0.0.1", 1000};
    hello.peer_address = {"127.0.0.1", 2000};
    return hello;
}

TEST(lookup_test, a_large_home_region_leaves_places_for_other_regions) {
    constexpr int home_entries = 12;
    constexpr int other_entries = 3;
    const base::time_point now{std::chrono::hours(1)};
    metrics::metric_registry metrics(100);
    const wire::member_record self{"n-0", "n", "north", 1, {"127.0.0.1", 1000}, {"127.0.0.1", 2000}};
    engine::entry_engine engine({self.name, self.failure_domain, self.region, 1, now}, self, {}, {}, 1,
                                metrics, now);
    engine::effects effects;
    engine.policy_read(1, policy_text, now, effects);
    for (int number = 1; number <= home_entries + other_entries; ++number) {
        const bool north = number <= home_entries;
        const auto name = fmt::format("{}-{}", north ? 'n' : 's', number);
        engine.link_up(name, hello_of(name, north), now, effects);
        wire::heartbeat heartbeat;
        heartbeat.counter = 1;
        heartbeat.running = wire::running_state::running;
        engine.peer_message(name, {{name, 7, 1, 1}, heartbeat}, now, effects);
    }
    for (int client = 0; client < 50; ++client) {
        const auto response = engine.lookup("stock", fmt::format("10.0.0.{}", client), now);
        ASSERT_EQ(response.entries.size(), 8U);
        EXPECT_EQ(response.entries.front().region, "north");
        const auto others = std::count_if(response.entries.begin(), response.entries.end(),
                                          [](const auto& entry) { return entry.region == "south"; });
        EXPECT_EQ(others, 2);
    }
}

} // namespace
} // namespace carawayway::engine_test
