// What a gateway believes about servers.
#include "carawayway/placement/server_table.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace carawayway::placement {
namespace {

using namespace std::chrono_literals;
using testing::ElementsAre;
using testing::IsEmpty;

constexpr base::time_point start{std::chrono::hours{1}};

fleet::server_registration facts_of(const std::string& id, std::int64_t started_at = 0) {
    fleet::server_registration facts;
    facts.id = id;
    facts.service = "s";
    facts.address = "10.0.0.1:80";
    facts.failure_domain = "a";
    facts.started_at = started_at;
    return facts;
}

server_table table_with(const std::string& id) {
    server_table table({"g", "a", "r", {{"a", "r"}}}, {});
    table.put(facts_of(id), start);
    return table;
}

// Guards against new work for a server that leaves, also when an older entry arrives after the news.
TEST(server_table, a_leaving_server_gets_no_work_and_does_not_come_back) {
    auto table = table_with("i-1");
    auto leaving = facts_of("i-1");
    leaving.intent = fleet::server_intent::leaving;
    table.put(leaving, start);
    EXPECT_THAT(table.candidates("s"), IsEmpty());
    table.put(facts_of("i-1"), start + 1s);
    EXPECT_THAT(table.candidates("s"), IsEmpty());
}

// Guards against a server that is kept out because the process before it under the same ID had left.
TEST(server_table, a_new_incarnation_under_the_same_id_starts_anew) {
    auto table = table_with("i-1");
    auto leaving = facts_of("i-1");
    leaving.intent = fleet::server_intent::leaving;
    table.put(leaving, start);
    table.make_suspect(*table.find("i-1"), start);
    table.put(facts_of("i-1", 1790000000000), start + 1s);
    EXPECT_EQ(table.candidates("s").size(), 1U);
    EXPECT_EQ(table.find("i-1")->own_in_flight, 0U);
}

// Guards against all servers being dropped because their entries expired while the store was down.
TEST(server_table, a_missing_entry_counts_until_the_store_has_settled) {
    auto table = table_with("i-1");
    table.mark_missing("i-1");
    EXPECT_EQ(table.candidates("s").size(), 1U);
    table.put(facts_of("i-1"), start + 1s); // it is back
    EXPECT_THAT(table.erase_missing(), IsEmpty());
    table.mark_missing("i-1");
    EXPECT_THAT(table.erase_missing(), ElementsAre("i-1"));
    EXPECT_THAT(table.candidates("s"), IsEmpty());
}

// Guards against requests to a server that does not answer, and against leaving it out for ever.
TEST(server_table, a_silent_server_is_probed_until_it_answers) {
    auto table = table_with("i-1");
    const auto server = table.find("i-1");
    for (std::uint32_t count = 0; count < server_table::tolerated_silent_failures; ++count) {
        table.record_no_answer(*server, start);
    }
    EXPECT_THAT(table.candidates("s"), IsEmpty());
    EXPECT_THAT(table.begin_due_probes(start), IsEmpty());
    const auto due = start + server_table::first_probe_interval;
    EXPECT_EQ(table.begin_due_probes(due).size(), 1U);
    EXPECT_THAT(table.begin_due_probes(due), IsEmpty()); // the probe runs
    table.record_probe_result(*server, health_check_result::no_answer, {}, due);
    EXPECT_THAT(table.begin_due_probes(due + server_table::first_probe_interval), IsEmpty()); // backs off
    EXPECT_EQ(table.begin_due_probes(due + 2 * server_table::first_probe_interval).size(), 1U);
    table.record_probe_result(*server, health_check_result::healthy, 2s, due + 1s);
    EXPECT_EQ(table.candidates("s").size(), 1U);
    EXPECT_TRUE(table.is_cold(*server, due + 2s));
}

// Guards against a request that reaches the server that has the address now.
TEST(server_table, a_displaced_server_stays_out) {
    auto table = table_with("i-1");
    const auto server = table.find("i-1");
    table.make_suspect(*server, start);
    table.record_probe_result(*server, health_check_result::other_server, {}, start + 1s);
    EXPECT_THAT(table.candidates("s"), IsEmpty());
    EXPECT_THAT(table.begin_due_probes(start + 1min), IsEmpty());
}

} // namespace
} // namespace carawayway::placement
