// Checks the requests to the platform's store and the parsing of its responses.
#include "platform/protocol.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace platform {
namespace {

using namespace std::chrono_literals;
using fleet::store_status;

TEST(store_calls, match_the_store_protocol) {
    EXPECT_EQ(protocol::list_call("").target, "/kv-range?prefix=");
    EXPECT_EQ(protocol::list_call("servers/a b").target, "/kv-range?prefix=&after=servers/a%20b");
    EXPECT_EQ(protocol::watch_call(411, 20s).target, "/kv-watch?prefix=&after=411&waitMs=20000");
    EXPECT_EQ(protocol::grant_call(3s).body, R"({"ttlMs":3000})");
    EXPECT_EQ(protocol::renew_call(7).target, "/kv-keep/7");
    EXPECT_EQ(protocol::revoke_call(7).verb, fleet::store_call::method::remove);
}

TEST(store_responses, a_page_is_decoded) {
    const auto page = protocol::read_page(
        200, R"({"items":[{"key":"k","value":"bm9kZS0x","rev":412,"createdRev":412,"lease":0}],)"
             R"("hasMore":true,"currentRev":530})");
    EXPECT_EQ(page.status, store_status::done);
    EXPECT_TRUE(page.has_more);
    EXPECT_EQ(page.revision, fleet::store_revision{530});
    EXPECT_THAT(page.items, testing::ElementsAre(fleet::store_record{"k", "node-1", 412, false}));
}

TEST(store_responses, events_are_decoded) {
    const auto page =
        protocol::read_events(200, R"({"events":[{"key":"a","value":"bm9kZS0x","rev":412,"lease":1},)"
                                   R"({"key":"b","rev":413,"deleted":true}],"currentRev":413})");
    EXPECT_THAT(page.items, testing::ElementsAre(fleet::store_record{"a", "node-1", 412, false},
                                                 fleet::store_record{"b", "", 413, true}));
}

// Guards against taking a truncated response for an empty store.
TEST(store_responses, an_incomplete_body_is_unreadable) {
    for (const std::string_view body :
         {"", "{", "[]", R"({"items":[]})", R"({"currentRev":3})", R"({"items":[7],"currentRev":3})",
          R"({"items":[{"key":"a"}],"currentRev":3})"}) {
        EXPECT_EQ(protocol::read_page(200, body).status, store_status::unreadable) << body;
    }
}

// Guards against one value of another writer making the whole listing unreadable.
TEST(store_responses, a_value_that_is_not_base64_is_kept_empty) {
    const auto page =
        protocol::read_page(200, R"({"items":[{"key":"servers/a","value":"%%","rev":2}],"currentRev":3})");
    EXPECT_EQ(page.status, store_status::done);
    EXPECT_THAT(page.items, testing::ElementsAre(fleet::store_record{"servers/a", "", 2, false}));
}

// Guards against one key of another writer making the whole listing or watch unreadable, time and again.
TEST(store_responses, a_key_that_is_not_utf8_costs_only_itself) {
    const std::string items = "[{\"key\":\"servers/\xff\xfe\",\"value\":\"\",\"rev\":2},"
                              "{\"key\":\"servers/a\",\"value\":\"bm9kZS0x\",\"rev\":3}],\"currentRev\":3}";
    const std::vector<fleet::store_record> records{{"servers/\xff\xfe", "", 2, false},
                                                   {"servers/a", "node-1", 3, false}};
    const auto page = protocol::read_page(200, "{\"items\":" + items);
    EXPECT_EQ(page.status, store_status::done);
    EXPECT_EQ(page.items, records);
    const auto events = protocol::read_events(200, "{\"events\":" + items);
    EXPECT_EQ(events.status, store_status::done);
    EXPECT_EQ(events.items, records);
    EXPECT_EQ(protocol::list_call("servers/\xff\xfe").target, "/kv-range?prefix=&after=servers/%FF%FE");
}

TEST(store_responses, each_status_is_recognized) {
    EXPECT_EQ(protocol::read_status(200), store_status::done);
    EXPECT_EQ(protocol::read_status(404), store_status::missing);
    EXPECT_EQ(protocol::read_status(410), store_status::compacted);
    EXPECT_EQ(protocol::read_status(412), store_status::conflict);
    EXPECT_EQ(protocol::read_status(429), store_status::refused);
    EXPECT_EQ(protocol::read_status(503), store_status::refused);
}

TEST(store_responses, a_lease_is_decoded) {
    const auto granted = protocol::read_lease(200, R"({"lease":77120,"ttlMs":3000})");
    EXPECT_EQ(granted, (fleet::store_lease{store_status::done, 77120, 3s}));
    EXPECT_EQ(protocol::read_lease(200, R"({"ttlMs":3000})").status, store_status::done);
    EXPECT_EQ(protocol::read_lease(200, "{}").status, store_status::unreadable);
    EXPECT_EQ(protocol::read_lease(404, "").status, store_status::missing);
}

} // namespace
} // namespace platform
