// Tests which servers a gateway uses after registrations, failures and probes.
#include "carawayway/placement/server_table.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace carawayway::placement {
namespace {

using namespace std::chrono_literals;
using testing::ElementsAre;
using testing::IsEmpty;

constexpr base::time_point start{std::chrono::hours{1}};

fleet::server_registration registration_of(const std::string& id, std::int64_t started_at = 0) {
    fleet::server_registration registration;
    registration.id = id;
    registration.service = "s";
    registration.address = "10.0.0.1:80";
    registration.failure_domain = "a";
    registration.started_at = started_at;
    return registration;
}

server_table table_with(const std::string& id) {
    server_table table({"g", "a", "r", {{"a", "r"}}}, {});
    table.put(registration_of(id), start);
    return table;
}

// Guards against sending requests to a leaving server, even when an older registration arrives late.
TEST(server_table, a_leaving_server_stays_excluded) {
    auto table = table_with("i-1");
    auto leaving = registration_of("i-1");
    leaving.intent = fleet::server_intent::leaving;
    table.put(leaving, start);
    EXPECT_THAT(table.candidates("s"), IsEmpty());
    table.put(registration_of("i-1"), start + 1s);
    EXPECT_THAT(table.candidates("s"), IsEmpty());
}

// Guards against excluding a server because an earlier process with the same ID had left.
TEST(server_table, a_new_incarnation_under_the_same_id_starts_with_new_state) {
    auto table = table_with("i-1");
    auto leaving = registration_of("i-1");
    leaving.intent = fleet::server_intent::leaving;
    table.put(leaving, start);
    table.make_suspect(*table.find("i-1"), start);
    table.put(registration_of("i-1", 1790000000000), start + 1s);
    EXPECT_EQ(table.candidates("s").size(), 1U);
    EXPECT_EQ(table.find("i-1")->own_in_flight, 0U);
}

// Guards against removing all servers because their registrations expired while the store was down.
TEST(server_table, a_server_with_a_missing_registration_is_used_until_it_is_erased) {
    auto table = table_with("i-1");
    table.mark_missing("i-1");
    EXPECT_EQ(table.candidates("s").size(), 1U);
    table.put(registration_of("i-1"), start + 1s); // registered again
    EXPECT_THAT(table.erase_missing(), IsEmpty());
    table.mark_missing("i-1");
    EXPECT_THAT(table.erase_missing(), ElementsAre("i-1"));
    EXPECT_THAT(table.candidates("s"), IsEmpty());
}

// Guards against sending requests to a server that does not answer, and against excluding it forever.
TEST(server_table, a_server_without_answers_is_probed_until_it_answers) {
    auto table = table_with("i-1");
    const auto server = table.find("i-1");
    for (std::uint32_t count = 0; count < server_table::unanswered_until_suspect; ++count) {
        table.record_no_answer(*server, start);
    }
    EXPECT_THAT(table.candidates("s"), IsEmpty());
    EXPECT_THAT(table.begin_due_probes(start), IsEmpty());
    const auto due = start + server_table::initial_probe_interval;
    EXPECT_EQ(table.begin_due_probes(due).size(), 1U);
    EXPECT_THAT(table.begin_due_probes(due), IsEmpty()); // the probe is in progress
    table.record_probe_result(*server, health_check_result::no_answer, {}, due);
    EXPECT_THAT(table.begin_due_probes(due + server_table::initial_probe_interval), IsEmpty()); // backoff
    EXPECT_EQ(table.begin_due_probes(due + 2 * server_table::initial_probe_interval).size(), 1U);
    table.record_probe_result(*server, health_check_result::healthy, 2s, due + 1s);
    EXPECT_EQ(table.candidates("s").size(), 1U);
    EXPECT_TRUE(table.is_cold(*server, due + 2s));
}

// Guards against requests that reach another server, to which the address was reassigned.
TEST(server_table, a_server_whose_address_was_reassigned_stays_excluded) {
    auto table = table_with("i-1");
    const auto server = table.find("i-1");
    table.make_suspect(*server, start);
    table.record_probe_result(*server, health_check_result::other_server, {}, start + 1s);
    EXPECT_THAT(table.candidates("s"), IsEmpty());
    EXPECT_THAT(table.begin_due_probes(start + 1min), IsEmpty());
}

// Guards against requests and health checks for a server that wants nothing, and against a crowd after that.
TEST(server_table, a_resting_server_gets_nothing_and_then_one_request_at_a_time) {
    auto table = table_with("i-1");
    const auto server = table.find("i-1");
    table.record_rest(*server, 3s, start);
    EXPECT_TRUE(server_table::is_resting(*server, start + 2999ms));
    EXPECT_FALSE(table.may_send(*server, start + 2999ms));
    EXPECT_FALSE(server_table::is_resting(*server, start + 3s));
    EXPECT_TRUE(table.may_send(*server, start + 3s));
    table.record_request_start(*server);
    EXPECT_TRUE(server_table::is_resting(*server, start + 3s)) << "the first request is running";
    table.record_request_end(*server);
    table.record_answer(*server, false, start + 3s);
    table.record_request_start(*server);
    EXPECT_TRUE(server_table::is_resting(*server, start + 3s)) << "it has failed";
    table.record_answer(*server, true, start + 4s);
    EXPECT_FALSE(server_table::is_resting(*server, start + 4s));
    table.make_suspect(*server, start + 4s);
    table.record_rest(*server, 10s, start + 4s);
    EXPECT_THAT(table.begin_due_probes(start + 13s), IsEmpty());
    EXPECT_EQ(table.begin_due_probes(start + 14s).size(), 1U);
}

TEST(server_table, a_shorter_rest_does_not_end_a_longer_one) {
    auto table = table_with("i-1");
    table.record_rest(*table.find("i-1"), 3s, start);
    table.record_rest(*table.find("i-1"), 1s, start + 1s);
    EXPECT_TRUE(server_table::is_resting(*table.find("i-1"), start + 2999ms));
}

// Guards against servers that are avoided for what the process before them has said.
TEST(server_table, a_new_incarnation_neither_rests_nor_leaves) {
    auto table = table_with("i-1");
    table.record_rest(*table.find("i-1"), 1h, start);
    EXPECT_TRUE(table.record_leaving(*table.find("i-1")));
    EXPECT_FALSE(table.record_leaving(*table.find("i-1"))) << "known";
    EXPECT_THAT(table.candidates("s"), IsEmpty());
    table.put(registration_of("i-1"), start + 1s); // the same one, which the store still lists as serving
    EXPECT_THAT(table.candidates("s"), IsEmpty());
    table.put(registration_of("i-1", 1790000000000), start + 2s);
    ASSERT_EQ(table.candidates("s").size(), 1U);
    EXPECT_FALSE(server_table::is_resting(*table.find("i-1"), start + 2s));
}

// Guards against servers that stay excluded after a partition that only this gateway had.
TEST(server_table, servers_that_became_suspect_without_fault_of_theirs_are_restored) {
    auto table = table_with("i-1");
    table.put(registration_of("i-2"), start);
    table.make_suspect(*table.find("i-1"), start);
    table.make_suspect(*table.find("i-2"), start + 2s);
    table.restore_suspects(start + 1s);
    ASSERT_EQ(table.candidates("s").size(), 1U) << "the other one had failed before";
    EXPECT_EQ(table.candidates("s").front()->registration.id, "i-2");
    table.record_no_answer(*table.find("i-2"), start + 3s);
    EXPECT_EQ(table.candidates("s").size(), 1U) << "failures are counted anew";
}

// Guards against a check that asks only servers which have just ended, or a single failure domain.
TEST(server_table, servers_that_answered_last_are_the_most_reachable_of_their_domain) {
    server_table table({"g", "a", "r", {{"a", "r"}, {"b", "r"}}}, {});
    for (const auto* const id : {"a-1", "a-2", "b-1", "leaving"}) {
        auto registration = registration_of(id);
        registration.failure_domain = std::string(id).substr(0, 1);
        table.put(registration, start);
    }
    auto leaving = registration_of("leaving");
    leaving.intent = fleet::server_intent::leaving;
    table.put(leaving, start);
    table.record_answer(*table.find("a-1"), true, start + 2s);
    table.record_answer(*table.find("a-2"), true, start + 3s);
    table.record_answer(*table.find("b-1"), true, start + 1s);
    std::vector<std::string> ids;
    for (const auto& server : table.by_reachability()) {
        ids.push_back(server->registration.id);
    }
    EXPECT_THAT(ids, ElementsAre("a-2", "b-1", "a-1"));
}

} // namespace
} // namespace carawayway::placement
