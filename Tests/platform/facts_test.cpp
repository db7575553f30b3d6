// Decoding of what operators, servers and gateways write to the platform's store.
#include "platform/protocol.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace platform {
namespace {

using namespace std::chrono_literals;
using carawayway::fleet::server_intent;
using carawayway::fleet::store_key_kind;
using carawayway::routing::request_semantics;

constexpr std::string_view whole_entry = R"({"address":"10.0.0.9:8080","born":1790000000123,)"
                                         R"("info":{"service":"s","version":"v1","zone":"z","slots":6},)"
                                         R"("status":{"state":"ready","seq":4,"coldLeftMs":1500}})";

TEST(server_entry, is_decoded) {
    const auto facts = protocol::read_server("i-1", whole_entry);
    ASSERT_TRUE(facts.has_value());
    EXPECT_EQ(facts->id, "i-1");
    EXPECT_EQ(facts->service, "s");
    EXPECT_EQ(facts->address, "10.0.0.9:8080");
    EXPECT_EQ(facts->failure_domain, "z");
    EXPECT_EQ(facts->slots, 6U);
    EXPECT_EQ(facts->intent, server_intent::serving);
    EXPECT_EQ(facts->cold_left, base::duration{1500ms});
    EXPECT_EQ(facts->started_at, 1790000000123);
}

// Guards against requests to a server that leaves.
TEST(server_entry, a_draining_server_is_leaving) {
    const auto facts =
        protocol::read_server("i-1", R"({"address":"a:1","info":{"service":"s","zone":"z","slots":1},)"
                                     R"("status":{"state":"draining","coldLeftMs":0}})");
    ASSERT_TRUE(facts.has_value());
    EXPECT_EQ(facts->intent, server_intent::leaving);
}

// Guards against an entry of another writer being used as if it named a server.
TEST(server_entry, names_no_server_when_it_is_not_whole) {
    for (
        const std::string_view entry : {
            "",
            "null",
            "[]",
            "{}",
            "\xff\xfe",
            R"({"address":"a:1"})",
            R"({"address":"a:1","info":{"service":"s","zone":"z","slots":1},"status":{"state":"odd","coldLeftMs":0}})",
            R"({"address":"a:1","info":{"service":"s","zone":"z","slots":"6"},"status":{"state":"ready","coldLeftMs":0}})",
            R"({"address":"a:1","info":{"service":"s","zone":"z","slots":0},"status":{"state":"ready","coldLeftMs":0}})",
            R"({"address":"a:1","info":{"zone":"z","slots":1},"status":{"state":"ready","coldLeftMs":0}})",
            R"({"address":7,"info":{"service":"s","zone":"z","slots":1},"status":{"state":"ready","coldLeftMs":0}})",
            R"({"address":"a:1","info":{"service":"s","zone":"z","slots":1},"status":{"state":"ready"}})",
        }) {
        EXPECT_FALSE(protocol::read_server("i-1", entry).has_value()) << entry;
    }
}

constexpr std::string_view configuration_text =
    R"({"version":"0000001a","services":[{"name":"s","healthPath":"/h","maxConns":360,"coldStartS":3.0,)"
    R"("coldPerS":14.0}],"limits":{"maxHeaderBytes":100,"maxBodyBytes":200,"headerTimeoutMs":300,)"
    R"("idleTimeoutMs":400},"hosts":[{"host":"h.example","paths":[)"
    R"({"name":"r1","prefix":"/a/","kind":"unsafe","timeoutMs":2500,"targetLatencyMs":400,"priority":1,)"
    R"("service":"s","maxAttempts":2,"sticky":true,"allowedRegions":["north"]},)"
    R"({"name":"r2","prefix":"/b/","kind":"safe","timeoutMs":2000,"targetLatencyMs":250,"priority":2,)"
    R"("trafficSplit":[{"service":"s","weight":90},{"service":"t","weight":10}],"maxAttempts":3}]}]})";

TEST(configuration, is_decoded) {
    const auto read = protocol::read_configuration(configuration_text);
    ASSERT_TRUE(read.has_value());
    EXPECT_EQ(read->version, 26U); // hexadecimal on the wire
    EXPECT_EQ(read->services.front().cold_start, base::duration{3s});
    EXPECT_EQ(read->services.front().cold_requests_per_second, 14.0);
    EXPECT_EQ(read->limits.idle_timeout, base::duration{400ms});
    ASSERT_EQ(read->hosts.front().routes.size(), 2U);
    const auto& unsafe = read->hosts.front().routes.front();
    EXPECT_EQ(unsafe.semantics, request_semantics::non_idempotent);
    EXPECT_EQ(unsafe.timeout, base::duration{2500ms});
    EXPECT_EQ(unsafe.maximum_attempts, 2U);
    EXPECT_TRUE(unsafe.keeps_affinity);
    EXPECT_THAT(unsafe.allowed_regions, testing::ElementsAre("north"));
    const auto& safe = read->hosts.front().routes.back();
    EXPECT_EQ(safe.semantics, request_semantics::idempotent);
    EXPECT_EQ(safe.targets.back().service, "t");
    EXPECT_EQ(safe.targets.back().weight, 10.0);
    EXPECT_FALSE(safe.keeps_affinity);
}

// Guards against a half-understood configuration dropping routes.
TEST(configuration, is_refused_as_a_whole_when_a_part_is_not_valid) {
    const std::string whole(configuration_text);
    for (const std::string_view removed :
         {R"("version":"0000001a",)", R"("prefix":"/b/",)", R"("host":"h.example",)"}) {
        std::string text = whole;
        text.erase(text.find(removed), removed.size());
        EXPECT_FALSE(protocol::read_configuration(text).has_value()) << removed;
    }
    EXPECT_FALSE(protocol::read_configuration(whole.substr(0, whole.size() / 2)).has_value());
}

TEST(subject_of, tells_keys_apart) {
    EXPECT_EQ(protocol::subject_of("op/config").kind, store_key_kind::configuration);
    EXPECT_EQ(protocol::subject_of("servers/i-1"), (fleet::store_key_subject{store_key_kind::server, "i-1"}));
    EXPECT_EQ(protocol::subject_of("op/evacuate/z"),
              (fleet::store_key_subject{store_key_kind::evacuation, "z"}));
    EXPECT_EQ(protocol::subject_of("carawayway/gateways/g"),
              (fleet::store_key_subject{store_key_kind::gateway, "g"}));
    EXPECT_EQ(protocol::subject_of("other/key").kind, store_key_kind::other);
}

TEST(gateway_entry, survives_the_store) {
    const fleet::gateway_registration own{"g", "z", "r", "10.0.0.1:80", "10.0.0.1:81"};
    const auto call = protocol::register_call(own, 42);
    EXPECT_EQ(call.target, "/kv-txn");
    EXPECT_THAT(call.body, testing::HasSubstr(R"("lease":42)"));
    EXPECT_EQ(protocol::read_gateway(
                  "g", R"({"domain":"z","region":"r","callers":"10.0.0.1:80","peers":"10.0.0.1:81"})"),
              own);
    EXPECT_FALSE(protocol::read_gateway("g", R"({"domain":"z"})").has_value());
}

} // namespace
} // namespace platform
