// Guards against wrong execution counts and injected faults that do not take effect in the backend stand-in.
// Benchmarks and system tests rely on both.
#include "Tests/stand_ins/http_client.hpp"
#include "stand_ins/backend/backend_fleet.hpp"
#include "stand_ins/backend/load_reporter.hpp"

#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <condition_variable>
#include <cstdio>
#include <fstream>
#include <mutex>
#include <vector>

namespace stand_ins {
namespace {

using test::http_client;

// Collects the events of a fleet. Tests can wait for events.
class event_log {
public:
    void add(const backend_event& event) {
        const std::scoped_lock lock(m_mutex);
        m_events.push_back(event);
        m_changed.notify_all();
    }

    void wait_for(backend_event_kind kind, std::size_t count) {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [&] { return count_locked(kind) >= count; });
    }

    std::size_t count(backend_event_kind kind) {
        const std::scoped_lock lock(m_mutex);
        return count_locked(kind);
    }

    std::uint32_t maximum_in_flight() {
        const std::scoped_lock lock(m_mutex);
        std::uint32_t maximum = 0;
        for (const auto& event : m_events) {
            maximum = std::max(maximum, event.in_flight);
        }
        return maximum;
    }

private:
    std::size_t count_locked(backend_event_kind kind) const {
        return static_cast<std::size_t>(
            std::count_if(m_events.begin(), m_events.end(),
                          [kind](const backend_event& event) { return event.kind == kind; }));
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<backend_event> m_events;
};

class backend_fleet_test : public testing::Test {
protected:
    static backend_options options(event_log& events) {
        backend_options made;
        made.service_time = {};
        made.on_event = [&events](const backend_event& event) { events.add(event); };
        return made;
    }

    void command(const std::string& fields) {
        EXPECT_EQ(fleet.control(R"({"server":"a",)" + fields + "}"), R"({"ok":true})");
    }

    event_log events;
    backend_fleet fleet{parse_server_list("a@127.0.0.1:0/2"), options(events)};
    std::string address = fleet.address("a");
};

std::string field(const std::string& body, const char* name) {
    return std::string(boost::json::parse(body).at(name).as_string());
}

TEST_F(backend_fleet_test, requests_above_the_slots_are_refused_before_execution) {
    command(R"("hold":true)");
    http_client first(address);
    http_client second(address);
    http_client third(address);
    first.send("/x", "1");
    second.send("/x", "2");
    events.wait_for(backend_event_kind::start, 2);
    const auto refused = third.exchange("/x", "3");
    EXPECT_EQ(refused.status, 503U);
    EXPECT_EQ(refused.fields.at("X-Refused"), "before-work");
    EXPECT_EQ(refused.fields.at("X-Load"), "2/2");
    command(R"("hold":false)");
    EXPECT_EQ(first.receive().status, 200U);
    EXPECT_EQ(second.receive().status, 200U);
    EXPECT_EQ(third.exchange("/x", "3").status, 200U);
    EXPECT_EQ(events.maximum_in_flight(), 2U);
}

TEST_F(backend_fleet_test, a_closed_connection_cancels_its_request_and_frees_the_slot) {
    command(R"("hold":true)");
    http_client staying(address);
    staying.send("/x", "1");
    {
        http_client leaving(address);
        leaving.send("/x", "2");
        events.wait_for(backend_event_kind::start, 2);
    }
    events.wait_for(backend_event_kind::cancel, 1);
    http_client next(address);
    next.send("/x", "3");
    events.wait_for(backend_event_kind::start, 3);
    command(R"("hold":false)");
    EXPECT_EQ(staying.receive().status, 200U);
    EXPECT_EQ(next.receive().status, 200U);
    EXPECT_EQ(events.count(backend_event_kind::finish), 2U);
}

TEST_F(backend_fleet_test, a_request_is_cancelled_at_its_deadline) {
    command(R"("hold":true)");
    http_client client(address);
    EXPECT_EQ(client.exchange("/x", "1", {{"X-Request-Timeout-Ms", "1"}}).status, 504U);
    EXPECT_EQ(events.count(backend_event_kind::cancel), 1U);
}

TEST_F(backend_fleet_test, crossed_answers_are_swapped_between_connections) {
    command(R"("hold":true,"crossed":true)");
    http_client first(address);
    http_client second(address);
    first.send("/x", "1", {{"X-Request-Id", "one"}});
    second.send("/x", "2", {{"X-Request-Id", "two"}});
    events.wait_for(backend_event_kind::start, 2);
    command(R"("hold":false)");
    EXPECT_EQ(field(first.receive().body, "request_id"), "two");
    EXPECT_EQ(field(second.receive().body, "request_id"), "one");
    http_client alone(address);
    EXPECT_EQ(field(alone.exchange("/x", "3", {{"X-Request-Id", "three"}}).body, "request_id"), "three");
}

TEST_F(backend_fleet_test, truncated_answers_end_early_and_fail_fast_answers_500) {
    command(R"("truncate":true)");
    http_client client(address);
    EXPECT_FALSE(client.exchange("/x", "1").complete);
    command(R"("truncate":false,"fail_fast":true)");
    http_client again(address);
    EXPECT_EQ(again.exchange("/x", "1").status, 500U);
}

TEST_F(backend_fleet_test, a_late_answer_is_delayed_and_occupies_no_slot) {
    command(R"("late_ms":20)");
    http_client client(address);
    const auto start = std::chrono::steady_clock::now();
    client.send("/x", "1");
    events.wait_for(backend_event_kind::finish, 1);
    EXPECT_EQ(client.receive().status, 200U);
    EXPECT_GE(std::chrono::steady_clock::now() - start, std::chrono::milliseconds(20));
}

TEST_F(backend_fleet_test, a_stalled_server_starts_no_execution_until_it_resumes) {
    command(R"("stall":true)");
    http_client client(address);
    client.send("/x", "1");
    EXPECT_EQ(events.count(backend_event_kind::start), 0U);
    command(R"("stall":false)");
    EXPECT_EQ(client.receive().status, 200U);
}

TEST_F(backend_fleet_test, a_draining_server_reports_it_and_refuses_new_work_after_the_grace_period) {
    command(R"("hold":true)");
    http_client running(address);
    running.send("/x", "1");
    events.wait_for(backend_event_kind::start, 1);
    command(R"("drain":true,"grace_ms":0)");
    http_client late(address);
    const auto refused = late.exchange("/x", "2");
    EXPECT_EQ(refused.status, 503U);
    EXPECT_EQ(refused.fields.at("X-Draining"), "true");
    EXPECT_EQ(refused.fields.at("X-Refused"), "before-work");
    command(R"("hold":false)");
    const auto finished = running.receive();
    EXPECT_EQ(finished.status, 200U);
    EXPECT_EQ(finished.fields.at("X-Draining"), "true");
    command(R"("drain":false)");
    EXPECT_EQ(late.exchange("/x", "3").status, 200U);
}

TEST_F(backend_fleet_test, a_crash_resets_all_connections_and_refuses_new_ones_until_the_restart) {
    command(R"("hold":true)");
    http_client bystander(address);
    bystander.send("/x", "1");
    events.wait_for(backend_event_kind::start, 1);
    http_client cause(address);
    EXPECT_FALSE(cause.exchange("/x", "please crash-server now").complete);
    EXPECT_FALSE(bystander.receive().complete);
    EXPECT_THROW(http_client{address}, boost::system::system_error);
    command(R"("restart":true,"hold":false)");
    http_client after(address);
    EXPECT_EQ(after.exchange("/x", "2").status, 200U);
    const auto stats = boost::json::parse(fleet.control(R"({"stats":true})")).at("servers").at("a");
    EXPECT_EQ(stats.at("crashes").to_number<int>(), 1);
    EXPECT_EQ(stats.at("in_flight").to_number<int>(), 0);
}

TEST_F(backend_fleet_test, repeated_executions_of_one_request_id_are_counted) {
    http_client client(address);
    client.exchange("/x", "1", {{"X-Request-Id", "once"}});
    client.exchange("/x", "1", {{"X-Request-Id", "twice"}});
    const auto second = client.exchange("/x", "1", {{"X-Request-Id", "twice"}});
    EXPECT_EQ(boost::json::parse(second.body).at("execution").to_number<int>(), 2);
    const auto stats = boost::json::parse(fleet.control(R"({"stats":true})"));
    EXPECT_EQ(stats.at("repeated"), (boost::json::value{{"twice", 2}}));
}

TEST_F(backend_fleet_test, a_fixed_load_is_reported_instead_of_the_real_one) {
    command(R"("report_load":7)");
    http_client client(address);
    EXPECT_EQ(client.exchange("/load", "").body, R"({"in_flight":7,"slots":2,"draining":false})");
    EXPECT_EQ(client.exchange("/x", "").fields.at("X-Load"), "7/2");
}

TEST(load_reporter_test, a_lagging_report_returns_the_earlier_load) {
    load_reporter reporter;
    const carawayway::base::time_point start{};
    reporter.set_lag(std::chrono::seconds(2));
    reporter.add_sample(1, start);
    reporter.add_sample(2, start + std::chrono::seconds(1));
    EXPECT_EQ(reporter.reported_load(start + std::chrono::seconds(1)), 0U);
    EXPECT_EQ(reporter.reported_load(start + std::chrono::seconds(2)), 1U);
    EXPECT_EQ(reporter.reported_load(start + std::chrono::seconds(3)), 2U);
}

TEST(backend_history_test, every_event_is_written_as_one_complete_line) {
    const std::string path = testing::TempDir() + "history_" + std::to_string(getpid());
    {
        backend_options options;
        options.service_time = {};
        options.history = path;
        backend_fleet fleet(parse_server_file("a stock 127.0.0.1:0 1 5\n# comment\n"), options);
        http_client client(fleet.address("a"));
        client.exchange("/x", "1", {{"X-Request-Id", "a\"\\b"}});
        client.exchange("/x", "2", {{"X-Request-Id", "second"}});
    }
    std::ifstream file(path);
    std::vector<std::string> kinds;
    std::int64_t last = 0;
    for (std::string line; std::getline(file, line);) {
        const auto event = boost::json::parse(line);
        kinds.emplace_back(event.at("event").as_string());
        EXPECT_GE(event.at("time_ns").as_int64(), last);
        last = event.at("time_ns").as_int64();
        EXPECT_EQ(event.at("service").as_string(), "stock");
    }
    EXPECT_EQ(kinds, (std::vector<std::string>{"start", "finish", "start", "finish"}));
    std::remove(path.c_str());
}

TEST(server_spec_test, invalid_entries_are_rejected) {
    for (const char* const text :
         {"a", "a@1.2.3.4:5", "a@1.2.3.4/5", "a@1.2.3.4:5/0", "a@host:5/1", "a@1.2.3.4:5/x"}) {
        EXPECT_THROW(parse_server_list(text), std::invalid_argument) << text;
    }
    EXPECT_THROW(parse_server_file("a b 1.2.3.4:5 1"), std::invalid_argument);
}

} // namespace
} // namespace stand_ins
