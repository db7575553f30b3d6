// Tests the limit on the requests that a cold server receives from all gateways together within a second.
#include "carawayway/placement/server_table.hpp"

#include <gtest/gtest.h>

#include <memory>

namespace carawayway::placement {
namespace {

using namespace std::chrono_literals;

constexpr base::time_point start{std::chrono::hours{1}};
constexpr cold_limits limits{1.5, 5.0};

fleet::server_registration cold_server(base::duration cold_left) {
    fleet::server_registration registration;
    registration.id = "i-1";
    registration.service = "s";
    registration.address = "10.0.0.1:80";
    registration.failure_domain = "a";
    registration.cold_left = cold_left;
    return registration;
}

std::vector<std::unique_ptr<server_table>> gateways(std::size_t count, double tolerated_rate,
                                                    base::time_point registered_at = start - 1min) {
    std::vector<std::unique_ptr<server_table>> tables;
    for (std::size_t index = 0; index < count; ++index) {
        const std::string name = "g" + std::to_string(index);
        tables.push_back(std::make_unique<server_table>(locality{name, "a", "r", {{"a", "r"}}}, limits));
        tables.back()->set_cold_start_profiles({{"s", {tolerated_rate, 3s}}});
        for (std::size_t other = 0; other < count; ++other) {
            tables.back()->gateways().put(
                {"g" + std::to_string(other), "a", "r", "10.0.0.2:80", "10.0.0.2:81", {}}, registered_at);
        }
    }
    return tables;
}

std::size_t sent_in_a_second(std::vector<std::unique_ptr<server_table>>& all) {
    std::size_t sent = 0;
    for (const auto& table : all) {
        const auto server = table->find("i-1");
        for (int attempt = 0; attempt < 100; ++attempt) {
            sent += table->try_acquire_cold_send(*server, start + std::chrono::milliseconds{attempt * 10})
                        ? 1
                        : 0;
        }
    }
    return sent;
}

// Guards against crashes of a cold server when each gateway keeps the limit but their sum exceeds it.
TEST(cold_servers, all_gateways_together_keep_the_limit) {
    for (const std::size_t count : {1U, 4U, 10U, 63U, 420U}) {
        for (const double tolerated_rate : {4.6, 14.0, 100.0}) {
            auto all = gateways(count, tolerated_rate);
            for (const auto& table : all) {
                table->put(cold_server(3s), start);
            }
            const auto sent = sent_in_a_second(all);
            EXPECT_LE(static_cast<double>(sent),
                      tolerated_rate * limits.rate_factor + limits.extra_requests_per_second)
                << count;
            EXPECT_GE(sent, 1U) << count;
        }
    }
}

// Guards against a cold server that gets its allowance twice within a second, because new processes do not
// know what those before them have sent.
TEST(cold_servers, the_limit_holds_when_all_gateways_are_restarted) {
    constexpr std::size_t count = 10;
    constexpr double tolerated_rate = 14.0;
    std::size_t sent = 0;
    for (const auto registered_at : {start - 1min, start}) {
        for (const auto& table : gateways(count, tolerated_rate, registered_at)) {
            table->put(cold_server(3s), start);
            const auto server = table->find("i-1");
            while (table->try_acquire_cold_send(*server, start)) {
                ++sent;
            }
        }
    }
    EXPECT_GE(sent, 1U);
    EXPECT_LE(static_cast<double>(sent),
              tolerated_rate * limits.rate_factor + limits.extra_requests_per_second);
}

// Guards against gateways that each take the whole allowance, because the registrations of the others have
// lapsed although they go on serving.
TEST(cold_servers, the_limit_holds_when_gateways_lose_sight_of_each_other) {
    constexpr std::size_t count = 10;
    constexpr double tolerated_rate = 14.0;
    auto all = gateways(count, tolerated_rate);
    for (const auto& table : all) {
        for (const auto& other : table->gateways().others_that_may_run(start)) {
            table->gateways().erase(other.name, start);
        }
        table->put(cold_server(3s), start);
    }
    const auto sent = sent_in_a_second(all);
    EXPECT_LE(static_cast<double>(sent),
              tolerated_rate * limits.rate_factor + limits.extra_requests_per_second);
    EXPECT_GE(sent, 1U);
}

// Guards against a cut-off gateway that goes on sending after the others have taken over its part.
TEST(cold_servers, get_nothing_from_a_gateway_that_has_lost_its_registration) {
    auto all = gateways(1, 14.0);
    auto& table = *all.front();
    table.put(cold_server(3s), start);
    table.gateways().record_own_removal();
    EXPECT_FALSE(table.try_acquire_cold_send(*table.find("i-1"), start));
    table.gateways().put({"g0", "a", "r", {}, {}, {}}, start);
    EXPECT_TRUE(table.try_acquire_cold_send(*table.find("i-1"), start));
}

// Guards against limiting a server that is no longer cold.
TEST(cold_servers, stop_being_cold_after_their_cold_time) {
    auto all = gateways(1, 14.0);
    all.front()->put(cold_server(2s), start);
    const auto server = all.front()->find("i-1");
    EXPECT_TRUE(all.front()->is_cold(*server, start + 1s));
    EXPECT_FALSE(all.front()->is_cold(*server, start + 2s));
}

// Guards against full traffic to servers that became cold during the evacuation of their domain.
TEST(cold_servers, include_all_servers_of_a_domain_after_its_evacuation) {
    auto all = gateways(1, 14.0);
    auto& table = *all.front();
    table.put(cold_server(0s), start);
    const auto server = table.find("i-1");
    table.set_evacuated("a", true, start);
    EXPECT_FALSE(table.is_usable(*server));
    table.set_evacuated("a", false, start + 10s);
    EXPECT_TRUE(table.is_usable(*server));
    EXPECT_TRUE(table.is_cold(*server, start + 10s));
    EXPECT_FALSE(table.is_cold(*server, start + 13s));
}

} // namespace
} // namespace carawayway::placement
