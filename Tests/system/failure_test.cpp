// Guards against lost or repeated executions and overloaded servers when an entry is killed, paused or
// stopped, or when servers fail, under load.
#include "Tests/system/sample_deployments.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <set>

namespace carawayway::test_support {
namespace {

using enum base::execution_state;

// Waits until the entry `by` owns every server of the domain and each of them has started new work since.
void expect_taken_over(deployment& system, const std::string& domain, const std::string& by) {
    for (const auto& server : system.servers_in(domain)) {
        const auto owned = [&] {
            return !system.entry(by).lines_with("event=server-owned server=" + server).empty();
        };
        ASSERT_TRUE(wait_until(owned)) << server << " by " << by;
        const auto now = base::monotonic_now();
        EXPECT_TRUE(wait_until([&] { return system.recorder().count_starts(server, now) > 0; })) << server;
    }
}

std::set<std::string> started_ids(const history& events) {
    std::set<std::string> ids;
    for (const auto& item : events) {
        if (const auto* started = std::get_if<execution_started>(&item.content)) {
            ids.insert(started->id);
        }
    }
    return ids;
}

// The request IDs of a killed entry must be answered as "unknown", because its request table is lost. A wrong
// answer would cause a second execution or a false "not executed".
TEST(failure_test, a_killed_entry_causes_no_false_answers_and_its_servers_are_taken_over) {
    deployment system(two_entries_in_one_domain());
    ASSERT_NO_FATAL_FAILURE(system.start());
    caller client(system, system.source_address_in("uusimaa"));
    const request reservation{"varaus", client.fresh_id("hki-a-1", "varaus"), "counter 4"};
    ASSERT_EQ(client.send("hki-a-1", reservation).execution, executed);
    caller_load load(system, 6, 20261203);
    EXPECT_TRUE(load.wait_for_executions("hki-a-1", 50));
    system.entry("hki-a-1").send_signal(SIGKILL);
    EXPECT_EQ(system.entry("hki-a-1").wait(), -SIGKILL);
    EXPECT_EQ(client.send("hki-a-2", reservation).execution, unknown);
    ASSERT_NO_FATAL_FAILURE(expect_taken_over(system, "hki-a", "hki-a-2"));
    ASSERT_NO_FATAL_FAILURE(system.start_entry("hki-a-1"));
    EXPECT_EQ(client.send("hki-a-1", reservation).execution, unknown);
    EXPECT_TRUE(load.wait_for_executions("hki-a-1", 50));
    load.stop();
    system.expect_no_violations();
}

// A resumed entry still considers itself the owner of its servers, although others have taken them over
// during the pause. If it dispatched to them, they would be overloaded.
TEST(failure_test, a_paused_entry_never_overloads_servers_and_serves_again) {
    deployment system(two_entries_in_one_domain());
    ASSERT_NO_FATAL_FAILURE(system.start());
    caller_load load(system, 8, 20261203);
    EXPECT_TRUE(load.wait_for_executions("hki-a-1", 50));
    system.entry("hki-a-1").send_signal(SIGSTOP);
    // The other entries take over the servers after the ownership term and the longest request timeout.
    ASSERT_NO_FATAL_FAILURE(expect_taken_over(system, "hki-a", "hki-a-2"));
    // Few requests, because callers also wait for timeouts at the paused entry.
    EXPECT_TRUE(load.wait_for_executions("hki-a-2", 20));
    system.entry("hki-a-1").send_signal(SIGCONT);
    EXPECT_TRUE(load.wait_for_executions("hki-a-1", 100));
    EXPECT_TRUE(load.wait_for_executions("hki-a-2", 100));
    load.stop();
    system.expect_no_violations();
}

// An entry whose region has lost all servers must forward its requests to the other region and must not
// attract further ones.
TEST(failure_test, a_region_without_servers_is_served_by_the_other_one) {
    deployment system(two_entries_in_one_domain());
    ASSERT_NO_FATAL_FAILURE(system.start());
    caller_load load(system, 6, 20261203);
    EXPECT_TRUE(load.wait_for_executions("hki-a-1", 50));
    const auto servers = system.servers_in("hki-a");
    for (const auto& server : servers) {
        system.control_servers(fmt::format(R"({{"server":"{}","kill":true}})", server));
    }
    EXPECT_TRUE(load.wait_for_executions("hki-a-1", 50));
    const auto refused = load.count("hki-a-1", not_executed);
    EXPECT_TRUE(load.wait_for_executions("hki-a-1", 200));
    // Only requests whose attempts all go to failed servers that are being probed are refused.
    EXPECT_LT(load.count("hki-a-1", not_executed) - refused, 20U);
    const auto restarted = base::monotonic_now();
    for (const auto& server : servers) {
        system.control_servers(fmt::format(R"({{"server":"{}","restart":true}})", server));
    }
    for (const auto& server : servers) {
        EXPECT_TRUE(wait_until([&] { return system.recorder().count_starts(server, restarted) > 10; }))
            << server;
    }
    load.stop();
    system.expect_no_violations();
}

// An entry that is stopped with SIGTERM must finish every accepted request and exit with status 0.
TEST(failure_test, a_stopped_entry_aborts_no_request) {
    deployment system(two_entries_in_one_domain());
    ASSERT_NO_FATAL_FAILURE(system.start());
    caller_load load(system, 8, 20261203);
    EXPECT_TRUE(load.wait_for_executions("hki-a-1", 100));
    system.entry("hki-a-1").send_signal(SIGTERM);
    EXPECT_EQ(system.entry("hki-a-1").wait(), 0);
    EXPECT_TRUE(load.wait_for_executions("hki-a-2", 100));
    load.stop();
    const auto events = system.recorder().snapshot();
    const auto started = started_ids(events);
    for (const auto& item : load.sent()) {
        // A connection that the entry did not accept may end without an answer, but its request must not have
        // started.
        EXPECT_FALSE(item.result.failure == cli::call_failure::outcome_unknown &&
                     started.contains(item.content.id))
            << item.content.id << " through " << item.entry;
    }
    EXPECT_EQ(std::count_if(events.begin(), events.end(),
                            [](const event& item) {
                                return std::holds_alternative<execution_cancelled>(item.content);
                            }),
              0);
    system.expect_no_violations();
}

} // namespace
} // namespace carawayway::test_support
