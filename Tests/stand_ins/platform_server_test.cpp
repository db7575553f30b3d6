// Guards against differences between the platform stand-in and the real store, which would invalidate the
// tests that use it, and against injected faults that do not take effect.
#include "Tests/stand_ins/http_client.hpp"
#include "stand_ins/platform/platform_server.hpp"
#include "stand_ins/platform/versioned_store.hpp"

#include <boost/json.hpp>
#include <gtest/gtest.h>

namespace stand_ins {
namespace {

using test::http_client;

TEST(versioned_store_test, instances_become_visible_in_order_after_the_delay) {
    std::vector<std::string> visible_keys;
    versioned_store store(
        [&visible_keys](const std::vector<store_event>& events) { visible_keys.push_back(events[0].key); });
    const time_point start{};
    const auto put = [&store](const std::string& key, time_point now) {
        store.begin_change();
        store.put(key, "v", 0);
        store.commit_change(now);
    };
    store.set_lag(std::chrono::seconds(5));
    put("/instances/a", start);
    store.set_lag(std::chrono::seconds(1));
    put("/instances/b", start);
    put("/other", start);
    EXPECT_EQ(store.advance(start + std::chrono::seconds(4)), start + std::chrono::seconds(5));
    EXPECT_EQ(visible_keys, std::vector<std::string>{"/other"});
    EXPECT_FALSE(store.advance(start + std::chrono::seconds(5)).has_value());
    EXPECT_EQ(visible_keys, (std::vector<std::string>{"/other", "/instances/a", "/instances/b"}));
}

TEST(versioned_store_test, an_expired_lease_erases_its_keys_in_one_revision) {
    versioned_store store([](const std::vector<store_event>&) {});
    const time_point start{};
    const auto lease = store.grant_lease(0, std::chrono::seconds(3), start);
    store.begin_change();
    store.put("a", "1", lease);
    store.put("b", "1", lease);
    store.put("c", "1", 0);
    store.commit_change(start);
    EXPECT_TRUE(store.keep_lease_alive(lease, start + std::chrono::seconds(2)).has_value());
    store.advance(start + std::chrono::seconds(4));
    EXPECT_EQ(store.visible().size(), 3U);
    store.advance(start + std::chrono::seconds(5));
    EXPECT_EQ(store.visible().size(), 1U);
    EXPECT_EQ(store.revision(), 3);
    EXPECT_FALSE(store.keep_lease_alive(lease, start + std::chrono::seconds(5)).has_value());
}

TEST(platform_server_test, a_transaction_with_an_invalid_operation_changes_nothing) {
    const platform_server server;
    http_client client(server.address());
    const auto refused = client.exchange(
        "/v3/kv/txn",
        R"({"success":[{"request_put":{"key":"YQ==","value":"YQ=="}},{"request_put":{"key":"YQ==","value":"?"}}]})");
    EXPECT_EQ(refused.status, 400U);
    const auto read = client.exchange("/v3/kv/range", R"({"key":"YQ=="})");
    EXPECT_FALSE(boost::json::parse(read.body).as_object().contains("kvs")) << read.body;
}

TEST(platform_server_test, a_value_above_the_size_limit_is_rejected_and_calls_are_counted) {
    platform_server server;
    http_client client(server.address());
    const std::string large(std::size_t{1400} * 1024, 'A'); // 1050 KiB when decoded
    EXPECT_EQ(client.exchange("/v3/kv/put", R"({"key":"YQ==","value":")" + large + R"("})").status, 400U);
    EXPECT_EQ(client.exchange("/v3/kv/put", R"({"key":"YQ==","value":"YQ=="})").status, 200U);
    const auto counted = boost::json::parse(server.control(R"({"calls":true})"));
    EXPECT_EQ(counted.at("calls").at("put").to_number<int>(), 2);
    EXPECT_EQ(counted.at("calls").at("open_watches").to_number<int>(), 0);
}

TEST(platform_server_test, down_closes_connections_but_control_messages_still_work) {
    const platform_server server;
    http_client client(server.address());
    http_client control(server.control_address());
    EXPECT_EQ(control.exchange("/control", R"({"down":true})").body, R"({"ok":true})");
    EXPECT_FALSE(client.exchange("/v3/kv/range", R"({"key":"YQ=="})").complete);
    http_client refused(server.address());
    EXPECT_FALSE(refused.exchange("/v3/kv/range", R"({"key":"YQ=="})").complete);
    EXPECT_EQ(control.exchange("/control", R"({"down":false})").body, R"({"ok":true})");
    http_client again(server.address());
    EXPECT_EQ(again.exchange("/v3/kv/range", R"({"key":"YQ=="})").status, 200U);
}

} // namespace
} // namespace stand_ins
