// Tests of the engine while servers leave, entry instances stop, pause or die, and policies change.
#include "Tests/engine/callers.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace carawayway::engine_test {
namespace {

using base::error_kind;
using base::execution_state;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::IsEmpty;

class engine_entries : public testing::Test {
protected:
    explicit engine_entries(config::policy policy = base_policy()) : m_world(7, std::move(policy)) {}

    void SetUp() override {
        for (const auto& name : entry_names) {
            m_world.start_entry(name);
        }
        m_world.run_for(seconds(5));
    }

    void TearDown() override {
        EXPECT_THAT(m_world.violations(), IsEmpty());
        EXPECT_THAT(m_callers.late_responses(), IsEmpty());
        EXPECT_THAT(m_callers.errors_without_retry_after(), IsEmpty());
    }

    void load(std::uint32_t per_second, base::duration time, std::uint32_t resends = 2) {
        for (const auto* service : {"stock", "booking"}) {
            for (const auto* home : {"north", "south"}) {
                m_callers.load({.service = service, .home = home, .resends = resends}, per_second, time);
                m_world.set_reference_rate(service, home, per_second);
            }
        }
    }

    bool all_executed(base::time_point since) {
        return m_callers.count(execution_state::executed, since) == m_callers.sent(since);
    }

    engine_world m_world;
    callers m_callers{m_world};
};

class closed_regions : public engine_entries {
protected:
    closed_regions() : engine_entries(policy()) {}

    static config::policy policy() {
        auto result = base_policy();
        for (auto& service : result.services) {
            service.cap.share = 0;
        }
        return result;
    }
};

// A draining server must get no new work after 3 s, and the drain must not abort requests. The history is
// checked for both.
TEST_F(engine_entries, send_no_new_work_to_a_server_drained_by_policy) {
    load(30, seconds(8), 0);
    m_world.run_for(seconds(1));
    auto policy = base_policy();
    policy.servers[0].state = config::administrative_state::draining;
    m_world.put_policy(policy);
    m_world.record(test_support::drain_effective{policy.servers[0].name});
    m_world.run_for(seconds(3));
    const auto before = m_world.servers().started(policy.servers[0].name);
    m_world.run_for(seconds(6));
    EXPECT_EQ(m_world.servers().started(policy.servers[0].name), before);
    EXPECT_TRUE(all_executed({}));
}

TEST_F(engine_entries, send_no_new_work_to_a_server_leaving_by_the_instance_list) {
    load(30, seconds(10), 0); // long enough for the server to get work again
    m_world.run_for(seconds(1));
    m_world.set_instance_state("booking-n1-1", engine::instance_state::leaving);
    m_world.run_for(seconds(3));
    const auto before = m_world.servers().started("booking-n1-1");
    m_world.run_for(seconds(3));
    EXPECT_EQ(m_world.servers().started("booking-n1-1"), before);
    m_world.set_instance_state("booking-n1-1", engine::instance_state::live);
    m_world.run_for(seconds(3));
    EXPECT_GT(m_world.servers().started("booking-n1-1"), before);
    m_world.run_for(seconds(2));
    EXPECT_TRUE(all_executed({}));
}

TEST_F(engine_entries, send_no_new_work_to_a_server_that_reports_leaving) {
    load(30, seconds(8), 0);
    m_world.run_for(seconds(1));
    m_world.servers().set_behaviour("booking-n2-1", server_behaviour::leaving);
    m_world.run_for(seconds(1));
    m_world.record(test_support::drain_effective{"booking-n2-1"});
    const auto before = m_world.servers().started("booking-n2-1");
    m_world.run_for(seconds(2));
    // An entry instance that takes over the server has to know as well.
    m_world.kill_entry("n2-a");
    m_world.run_for(seconds(8));
    EXPECT_EQ(m_world.servers().started("booking-n2-1"), before);
    EXPECT_FALSE(m_world.owner("booking-n2-1").empty());
}

// A graceful stop must not lose requests and has to end.
TEST_F(engine_entries, finish_all_requests_before_a_graceful_stop) {
    load(30, seconds(8), 1);
    m_world.run_for(seconds(1));
    m_world.stop_entry("n1-a");
    m_world.run_for(seconds(9));
    EXPECT_EQ(m_world.engine("n1-a").state(), engine::run_state::stopped);
    EXPECT_EQ(m_world.engine("n1-a").requests().calls(), 0U);
    EXPECT_TRUE(all_executed({}));
}

// Callers that keep using a stopping entry instance must get definite outcomes, not unknown ones.
TEST_F(engine_entries, refuse_new_ids_permanently_while_stopping) {
    const auto& earlier = m_callers.call({.entry = "n1-a"});
    const std::string prefix = m_world.lookup("n1-a", "booking", "10.1.0.1").request_id_prefix;
    m_world.run_for(seconds(1));
    // Running requests keep the process from stopping.
    m_world.servers().set_behaviour("booking-n1-1", server_behaviour::stalled);
    m_world.servers().set_behaviour("booking-n1-2", server_behaviour::stalled);
    m_world.stop_entry("n1-a");
    m_world.run_for(milliseconds(1500));
    m_callers.call({.entry = "n1-a", .timeout = milliseconds(1500)});
    m_world.run_for(milliseconds(800));
    ASSERT_EQ(m_world.engine("n1-a").state(), engine::run_state::draining);
    engine::service_request request;
    request.service = "booking";
    request.request_id = prefix + "late";
    request.body = "late";
    engine::response_ptr direct;
    engine::response_ptr forwarded;
    m_world.submit("n1-a", request, [&](const engine::response_ptr& response) { direct = response; });
    m_world.submit("n2-a", request, [&](const engine::response_ptr& response) { forwarded = response; });
    const auto& replayed = m_callers.resend(earlier, "n1-a");
    m_world.run_for(milliseconds(100));
    ASSERT_TRUE(direct && forwarded);
    EXPECT_EQ(direct->execution, execution_state::not_executed);
    EXPECT_EQ(forwarded->execution, execution_state::not_executed);
    EXPECT_EQ(replayed.outcome(), execution_state::executed);
    m_world.run_for(seconds(3));
}

// When a region is lost, its traffic must move to the other one only as fast as the shift cap allows. The
// history is checked against the cap over all entry instances.
TEST_F(engine_entries, admit_the_traffic_of_a_lost_region_within_the_cap) {
    load(40, seconds(16), 0);
    m_world.run_for(seconds(4));
    m_world.kill_entry("s1-a", host_state::down);
    const auto lost = m_world.now();
    m_world.run_for(seconds(14));
    std::size_t moved = 0;
    std::size_t refused = 0;
    for (const auto& call : m_callers.calls()) {
        if (call.plan.home != "south" || call.submissions.front().sent < lost || call.response() == nullptr) {
            continue;
        }
        moved += call.outcome() == execution_state::executed ? 1 : 0;
        refused += call.response()->error == error_kind::shift_cap_reached ? 1 : 0;
    }
    EXPECT_GT(moved, 100U);
    EXPECT_GT(refused, 100U);
}

// An isolated run of suspect content must not move the request to another region without allowance.
TEST_F(closed_regions, apply_to_isolated_runs_of_suspect_content) {
    m_callers.call({.home = "south", .entry = "s1-a", .body = crash_content});
    m_world.run_for(seconds(2));
    ASSERT_EQ(m_world.servers().crashes(), 1U);
    const auto& call = m_callers.call({.home = "north", .entry = "s1-a", .body = crash_content});
    m_world.run_for(seconds(2));
    EXPECT_EQ(m_world.servers().crashes(), 1U);
    ASSERT_NE(call.response(), nullptr);
    EXPECT_EQ(call.response()->error, error_kind::shift_cap_reached);
}

// An engine that takes a lost link for one that is up ignores the restart that other entry instances report.
TEST_F(engine_entries, learn_of_a_restart_without_a_link) {
    m_world.cut("n1-a", "n2-a");
    m_world.run_for(seconds(3));
    m_world.kill_entry("n2-a");
    m_world.run_for(seconds(1));
    m_world.start_entry("n2-a");
    m_world.run_for(seconds(5));
    std::string status;
    for (const auto& member : m_world.engine("n1-a").status(m_world.now()).members) {
        status = member.name == "n2-a" ? member.status : status;
    }
    EXPECT_EQ(status, "alive");
}

// Each new link triggers a summary. Rates measured over the short time since the previous one are inaccurate
// and must not raise the allowance.
TEST_F(engine_entries, keep_the_cap_while_links_flap) {
    load(40, seconds(14), 0);
    m_world.run_for(seconds(4));
    for (int flap = 0; flap < 40; ++flap) {
        m_world.events().after(milliseconds(230) * flap, [this] {
            m_world.drop_link("n1-a", "n2-a");
            m_world.drop_link("n1-b", "n2-a");
        });
    }
    m_world.kill_entry("s1-a", host_state::down);
    m_world.run_for(seconds(12));
}

class small_region : public engine_entries {
protected:
    small_region() : engine_entries(policy()) {}

    static config::policy policy() {
        auto result = base_policy();
        result.regions[0].capacity = 7;
        return result;
    }
};

// An entry instance is paused with running and queued requests and resumes after others took over its
// servers. The region must stay within its capacity, and no server may be used by two entry instances.
TEST_F(small_region, stays_within_its_capacity_across_pauses) {
    for (const auto length : {milliseconds(300), milliseconds(700), milliseconds(2000), milliseconds(9000)}) {
        load(60, seconds(14), 0);
        m_world.run_for(seconds(1));
        m_world.pause_entry("n1-a");
        m_world.run_for(length);
        m_world.resume_entry("n1-a");
        m_world.run_for(seconds(14));
    }
    EXPECT_GT(m_callers.count(execution_state::executed, {}), 1000U);
}

// A resumed process must not dispatch pending requests before it has checked which servers it still owns.
TEST_F(engine_entries, dispatch_nothing_between_resume_and_revalidation) {
    m_world.pause_entry("n1-a");
    m_world.run_for(milliseconds(100));
    for (int index = 0; index < 5; ++index) {
        m_callers.call({.entry = "n1-a", .timeout = milliseconds(1500)});
    }
    m_world.run_for(milliseconds(800));
    std::size_t written = 0;
    m_world.on_step([&written](step value, const std::string& entry, const std::string&) {
        written += value == step::awaiting_answer && entry == "n1-a" ? 1 : 0;
    });
    m_world.resume_entry("n1-a");
    EXPECT_TRUE(m_world.owner("booking-n1-1") != "n1-a" && m_world.owner("booking-n1-2") != "n1-a");
    m_world.run_for(milliseconds(1));
    EXPECT_EQ(written, 0U);
    m_world.run_for(seconds(3));
    EXPECT_TRUE(m_world.owner("booking-n1-1") == "n1-a" || m_world.owner("booking-n1-2") == "n1-a");
}

// A late reply of the platform or a peer with an older policy must not revert the policy in force.
TEST_F(engine_entries, never_revert_to_an_older_policy) {
    const std::string old_document = m_world.engine("n1-a").policy_document();
    const auto old_revision = m_world.revision();
    auto policy = base_policy();
    policy.comment = "newer";
    m_world.put_policy(policy);
    m_world.run_for(seconds(3));
    for (const auto& name : entry_names) {
        EXPECT_EQ(m_world.engine(name).revision(), m_world.revision());
        m_world.deliver_policy(name, old_revision, old_document);
        m_world.deliver_policy(name, m_world.revision(), old_document);
    }
    m_world.run_for(seconds(2));
    for (const auto& name : entry_names) {
        EXPECT_EQ(m_world.engine(name).revision(), m_world.revision());
        EXPECT_NE(m_world.engine(name).policy_document(), old_document);
    }
}

// An entry instance has to start without the platform if peers have the policy.
TEST_F(engine_entries, learn_the_policy_from_peers_without_the_platform) {
    m_world.kill_entry("n2-a");
    m_world.platform_down();
    m_world.run_for(seconds(1));
    m_world.start_entry("n2-a");
    EXPECT_TRUE(m_world.engine("n2-a").not_ready_reason().has_value());
    m_world.run_for(seconds(2));
    EXPECT_FALSE(m_world.engine("n2-a").not_ready_reason().has_value());
    EXPECT_EQ(m_world.engine("n2-a").revision(), m_world.revision());
}

TEST(engine_start, is_not_ready_without_platform_and_peers) {
    engine_world world(1);
    world.platform_down();
    world.start_entry("n1-a");
    world.run_for(seconds(20));
    EXPECT_TRUE(world.engine("n1-a").not_ready_reason().has_value());
    callers some(world);
    const auto& call = some.call({.service = "stock", .entry = "n1-a"});
    world.run_for(seconds(1));
    ASSERT_NE(call.response(), nullptr);
    EXPECT_EQ(call.response()->error, error_kind::not_ready);
    world.platform_up();
    world.run_for(seconds(2));
    EXPECT_FALSE(world.engine("n1-a").not_ready_reason().has_value());
}

} // namespace
} // namespace carawayway::engine_test
