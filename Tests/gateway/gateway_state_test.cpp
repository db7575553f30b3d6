// Tests of the state of a gateway: what answers tell of rate limits, and who shares quotas.
#include "carawayway/gateway/gateway_state.hpp"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <set>

namespace carawayway::gateway {
namespace {

using namespace std::chrono_literals;

constexpr base::time_point start{std::chrono::hours{1}};

class rate_limit_answers_test : public testing::Test {
protected:
    rate_limit_answers_test() { m_server.registration.id = "i-1"; }

    void answer(const response_metadata& metadata, answer_verdict verdict = answer_verdict::good) {
        m_state.record_rate_limit(m_server, metadata, verdict, m_now, m_now);
        m_now += 1s;
    }

    bool is_limited() { return m_state.servers.rate_limits().is_limited("i-1", m_now); }

    static response_metadata naming(std::optional<double> limit) {
        response_metadata metadata;
        metadata.names_rate_limit = true;
        metadata.request_rate_limit = limit;
        return metadata;
    }

    boost::asio::io_context m_context;
    int m_limit_changes = 0;
    gateway_state m_state{
        m_context.get_executor(),
        {"g", "a", "r", {{"a", "r"}}},
        platform_bounds{},
        64U << 20U,
        [](const steering::crash_count&) {},
        [](const quarantine_change&) {},
        [](const steering::crash_count&, const std::function<void(bool)>&) { return false; },
        [this] { ++m_limit_changes; }};
    placement::server_state m_server;
    base::time_point m_now = start;
};

TEST_F(rate_limit_answers_test, a_limit_counts_from_the_answer_that_names_it_to_the_one_that_does_not) {
    answer({});
    EXPECT_FALSE(is_limited());
    answer(naming(7.0));
    answer(naming(7.0));
    EXPECT_TRUE(is_limited());
    EXPECT_EQ(m_limit_changes, 1);
    answer({});
    EXPECT_FALSE(is_limited());
    EXPECT_EQ(m_limit_changes, 2) << "the end is passed on";
}

TEST_F(rate_limit_answers_test, a_refusal_can_name_a_limit) {
    auto refusal = naming(7.0);
    refusal.not_executed = true;
    answer(refusal, answer_verdict::failed);
    EXPECT_TRUE(is_limited());
}

// Guards against a limit that is given up too early, because an error, the answer of another server at the
// address or an unreadable header is taken for its end.
TEST_F(rate_limit_answers_test, only_a_good_answer_without_a_limit_ends_it) {
    answer(naming(7.0));
    answer({}, answer_verdict::failed);
    EXPECT_TRUE(is_limited());
    response_metadata other;
    other.other_server = true;
    answer(other);
    EXPECT_TRUE(is_limited());
    answer(naming(std::nullopt));
    EXPECT_TRUE(is_limited());
}

// Guards against a limit that the server now at the address has named for itself.
TEST_F(rate_limit_answers_test, another_server_at_the_address_limits_only_itself) {
    auto other = naming(7.0);
    other.other_server = true;
    answer(other, answer_verdict::failed);
    EXPECT_FALSE(is_limited());
}

class shared_quota_test : public testing::Test {
protected:
    static constexpr int account_count = 16;
    static constexpr double quota = 100.0; // requests per second, and the burst

    void configure() {
        auto configuration = std::make_shared<routing::configuration>();
        for (int number = 0; number < account_count; ++number) {
            routing::client_account account;
            account.name = "account-" + std::to_string(number);
            account.quota = {quota, quota};
            configuration->accounts.push_back(account);
        }
        m_state.set_configuration(std::move(configuration));
    }

    void register_gateway(const std::string& name, const std::string& quota_address) {
        fleet::gateway_registration registration;
        registration.name = name;
        registration.failure_domain = "a";
        registration.region = "r";
        registration.quota_address = quota_address;
        m_state.servers.gateways().put(registration, start);
    }

    // To whom reports are due when all accounts are used.
    std::set<std::string> owners_of_accounts(base::time_point now) {
        m_state.update_quota_gateways(now);
        for (int number = 0; number < account_count; ++number) {
            m_state.admit("account-" + std::to_string(number), now);
        }
        std::set<std::string> owners;
        for (const auto& outgoing : m_state.quotas.due_reports(now)) {
            owners.insert(outgoing.owner);
        }
        return owners;
    }

    boost::asio::io_context m_context;
    gateway_state m_state{
        m_context.get_executor(),
        {"g", "a", "r", {{"a", "r"}}},
        platform_bounds{},
        64U << 20U,
        [](const steering::crash_count&) {},
        [](const quarantine_change&) {},
        [](const steering::crash_count&, const std::function<void(bool)>&) { return false; },
        [] {}};
};

// Guards against gateways that each grant themselves a whole quota after an outage of the store that has
// ended all registrations.
TEST_F(shared_quota_test, the_owners_stay_when_all_registrations_are_lost) {
    register_gateway("g", "127.0.0.1:1");
    register_gateway("h", "127.0.0.1:2");
    configure();
    EXPECT_EQ(owners_of_accounts(start), std::set<std::string>{"h"});
    m_state.servers.gateways().record_own_removal();
    m_state.servers.gateways().erase("h", start + 10s);
    EXPECT_EQ(owners_of_accounts(start + 20s), std::set<std::string>{"h"});
    EXPECT_EQ(m_state.quota_address_of("h"), std::optional<std::string>("127.0.0.1:2"));
}

// Guards against a gateway that starts during such an outage and grants itself a whole quota.
TEST_F(shared_quota_test, a_gateway_that_knows_no_other_leaves_most_of_a_quota) {
    m_state.set_quota_handler([] {});
    configure();
    m_state.update_quota_gateways(start);
    int admitted = 0;
    for (auto now = start; now < start + 5s; now += 5ms) {
        admitted += m_state.admit("account-0", now).is_admitted ? 1 : 0;
    }
    EXPECT_GT(admitted, 0);
    EXPECT_LT(admitted, static_cast<int>(quota * 2));
}

// Guards against an overload that operators cannot see, or that seems to go on when it has ended.
TEST_F(shared_quota_test, logs_and_metrics_tell_of_an_overload) {
    auto configuration = std::make_shared<routing::configuration>();
    configuration->services = {{"service", "/health", 0, {}, 0.0}};
    routing::route urgent;
    urgent.prefix = "/a/";
    urgent.targets = {{"service", 1.0}};
    auto other = urgent;
    other.prefix = "/b/";
    other.priority = 1;
    other.target_latency = 1s;
    configuration->hosts = {{"host", {urgent, other}}};
    m_state.set_configuration(configuration);
    fleet::server_registration server;
    server.id = "i-1";
    server.service = "service";
    server.failure_domain = "a";
    server.slots = 1;
    m_state.servers.put(server, start);
    auto now = start;
    int rejected = 0;
    for (; now < start + 3s; now += 10ms) {
        const auto placed =
            m_state.selector.choose({other, "service", 1, 4s, 1s, {}, false, {}, 1, 0.0}, now);
        rejected += placed.reason == placement::refusal::overload ? 1 : 0;
        m_state.selector.record_load("service", "r", 50.0, now);
    }
    EXPECT_GT(rejected, 100);
    m_state.report_overloads(now);
    EXPECT_NE(m_state.metrics.to_prometheus().find("rejected_part{service=\"service\"} 0.9"),
              std::string::npos);
    m_state.report_overloads(now + 10s);
    EXPECT_NE(m_state.metrics.to_prometheus().find("rejected_part{service=\"service\"} 0\n"),
              std::string::npos);
}

} // namespace
} // namespace carawayway::gateway
