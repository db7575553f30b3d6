// Checks the parsing of the records that operators, servers and gateways write to the platform's store.
#include "carawayway/json/base64.hpp"
#include "platform/protocol.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace platform {
namespace {

using namespace std::chrono_literals;
using carawayway::fleet::server_intent;
using carawayway::fleet::store_key_kind;
using carawayway::routing::request_semantics;

constexpr std::string_view complete_record = R"({"address":"10.0.0.9:8080","born":1790000000123,)"
                                             R"("info":{"service":"s","version":"v1","zone":"z","slots":6},)"
                                             R"("status":{"state":"ready","seq":4,"coldLeftMs":1500}})";

TEST(server_record, is_decoded) {
    const auto registration = protocol::read_server("i-1", complete_record);
    ASSERT_TRUE(registration.has_value());
    EXPECT_EQ(registration->id, "i-1");
    EXPECT_EQ(registration->service, "s");
    EXPECT_EQ(registration->address, "10.0.0.9:8080");
    EXPECT_EQ(registration->failure_domain, "z");
    EXPECT_EQ(registration->slots, 6U);
    EXPECT_EQ(registration->intent, server_intent::serving);
    EXPECT_EQ(registration->cold_left, base::duration{1500ms});
    EXPECT_EQ(registration->started_at, 1790000000123);
}

// Guards against sending new requests to a draining server.
TEST(server_record, a_draining_server_is_leaving) {
    const auto registration =
        protocol::read_server("i-1", R"({"address":"a:1","info":{"service":"s","zone":"z","slots":1},)"
                                     R"("status":{"state":"draining","coldLeftMs":0}})");
    ASSERT_TRUE(registration.has_value());
    EXPECT_EQ(registration->intent, server_intent::leaving);
}

// Guards against a malformed record, or one of another writer, being used as a server.
TEST(server_record, is_refused_when_incomplete_or_invalid) {
    for (
        const std::string_view record : {
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
        EXPECT_FALSE(protocol::read_server("i-1", record).has_value()) << record;
    }
}

std::string nested_arrays(std::size_t depth) {
    return std::string(depth, '[') + std::string(depth, ']');
}

std::string record_with(std::string_view replaced, std::string_view replacement) {
    std::string text(complete_record);
    text.replace(text.find(replaced), replaced.size(), replacement);
    return text;
}

// Guards against a parser that exhausts the stack, or takes a part of such a record for a server.
TEST(server_record, is_refused_when_deeply_nested) {
    for (const std::size_t depth : {100UL, 100'000UL, 1'000'000UL}) {
        EXPECT_FALSE(protocol::read_server("i-1", nested_arrays(depth)).has_value()) << depth;
        EXPECT_FALSE(protocol::read_server("i-1", record_with("4", nested_arrays(depth))).has_value())
            << depth;
    }
}

// Guards against numbers that are cut to a smaller type, or to times that overflow.
TEST(server_record, is_refused_with_numbers_out_of_range) {
    const std::vector<std::string> too_large{"4294967296",          "4294967297", "9007199254740992",
                                             "9223372036854775808", "1e30",       "1e400",
                                             "1e99999999999",       "1e300"};
    for (const auto& number : too_large) {
        for (const std::string_view field : {"\"slots\":6", "\"coldLeftMs\":1500"}) {
            const auto name = field.substr(0, field.find(':') + 1);
            const auto record = record_with(field, std::string(name) + number);
            EXPECT_FALSE(protocol::read_server("i-1", record).has_value()) << record;
        }
    }
    for (const std::string_view slots : {"-1", "0", "1.5", "65536", "-1e400"}) {
        const auto record = record_with("\"slots\":6", "\"slots\":" + std::string(slots));
        EXPECT_FALSE(protocol::read_server("i-1", record).has_value()) << record;
    }
    for (const std::string_view born : {"1e30", "1e400", "-1e400", "18446744073709551616", "1.5"}) {
        const auto record = record_with("1790000000123", born);
        EXPECT_FALSE(protocol::read_server("i-1", record).has_value()) << record;
    }
}

// Guards against taking a record of another writer for that of a server that leaves some fields out.
TEST(server_record, is_refused_when_a_field_has_another_type) {
    for (const auto& record : {record_with("1790000000123", "\"1790000000123\""), record_with("\"v1\"", "1"),
                               record_with("\"seq\":4", "\"seq\":\"4\""), record_with("1500", "\"1500\""),
                               record_with("1500", "null"), record_with("\"z\"", "[\"z\"]")}) {
        EXPECT_FALSE(protocol::read_server("i-1", record).has_value()) << record;
    }
    EXPECT_TRUE(protocol::read_server("i-1", record_with(",\"seq\":4", "")).has_value());
    EXPECT_TRUE(protocol::read_server("i-1", record_with("\"version\":\"v1\",", "")).has_value());
}

// Guards against the ID of another writer's record ending the header that names the server, so that the
// remainder becomes a header or a request.
TEST(server_record, is_refused_under_an_id_that_no_header_can_carry) {
    using namespace std::string_view_literals;
    for (const std::string_view id : {""sv, " "sv, "i-1 "sv, " i-1"sv, "i\r\nDeadline-Ms: 1"sv, "i\n"sv,
                                      "i\0"sv, "i\t"sv, "i\x7f"sv, "i-\xff"sv}) {
        EXPECT_FALSE(protocol::read_server(id, complete_record).has_value()) << id;
    }
    for (const std::string_view id : {"i-1", "i_1.b:7/x~", "7"}) {
        EXPECT_TRUE(protocol::read_server(id, complete_record).has_value()) << id;
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
    EXPECT_EQ(read->version, 26U); // "0000001a" is hexadecimal
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

std::optional<carawayway::routing::configuration> with_accounts(std::string_view accounts) {
    std::string text(configuration_text);
    text.insert(1, "\"tenants\":" + std::string(accounts) + ",");
    return protocol::read_configuration(text);
}

TEST(configuration, has_accounts) {
    EXPECT_TRUE(protocol::read_configuration(configuration_text)->accounts.empty());
    const auto read = with_accounts(
        R"([{"name":"a","apiKeys":["k1","k2"],"priority":1,"ratePerS":6.5,"burst":7,"allowedRegions":["r"]},)"
        R"({"name":"b","apiKeys":[]}])");
    ASSERT_TRUE(read.has_value());
    ASSERT_EQ(read->accounts.size(), 2U);
    EXPECT_EQ(read->accounts.front(),
              (carawayway::routing::client_account{"a", {"k1", "k2"}, 1, {6.5, 7.0}, {"r"}}));
    EXPECT_EQ(read->accounts.back(), (carawayway::routing::client_account{"b", {}, 0, {}, {}}));
}

// Guards against a configuration that takes effect without some of its accounts or their limits.
TEST(configuration, is_refused_with_an_account_that_cannot_be_read) {
    for (const std::string_view accounts :
         {"null", "{}", "[1]", R"([{"apiKeys":[]}])", R"([{"name":"a"}])", R"([{"name":"a","apiKeys":[1]}])",
          R"([{"name":"a\r\nb","apiKeys":[]}])", R"([{"name":"a","apiKeys":[],"ratePerS":"1"}])",
          R"([{"name":"a","apiKeys":[],"ratePerS":-1}])", R"([{"name":"a","apiKeys":[],"burst":1e400}])",
          R"([{"name":"a","apiKeys":[],"allowedRegions":"r"}])"}) {
        EXPECT_FALSE(with_accounts(accounts).has_value()) << accounts;
    }
}

std::string configuration_with_semantics(std::string_view semantics) {
    std::string text(configuration_text);
    const std::string_view replaced = R"("kind":"safe")";
    text.replace(text.find(replaced), replaced.size(), R"("kind":)" + std::string(semantics));
    return text;
}

// Guards against downloads that are neither retried nor hedged although they may run more than once.
TEST(configuration, a_download_is_idempotent) {
    const auto read = protocol::read_configuration(configuration_with_semantics(R"("download")"));
    ASSERT_TRUE(read.has_value());
    EXPECT_EQ(read->hosts.front().routes.back().semantics, request_semantics::idempotent);
    EXPECT_THAT(read->unknown_semantics, testing::IsEmpty());
}

// Guards against requests of a kind that is added later running twice, and against that going unnoticed.
TEST(configuration, requests_of_unknown_semantics_count_as_non_idempotent) {
    const auto read = protocol::read_configuration(configuration_with_semantics(R"("replayable")"));
    ASSERT_TRUE(read.has_value());
    EXPECT_EQ(read->hosts.front().routes.back().semantics, request_semantics::non_idempotent);
    EXPECT_THAT(read->unknown_semantics, testing::ElementsAre("replayable"));
}

// Guards against times whose sum with the present time overflows.
TEST(configuration, times_out_of_range_are_limited) {
    const std::string complete(configuration_text);
    for (const std::string_view time : {"1e14", "1e300", "9223372036854775807"}) {
        std::string text = complete;
        for (const std::string_view field : {R"("coldStartS":3.0)", R"("timeoutMs":2500)",
                                             R"("targetLatencyMs":400)", R"("idleTimeoutMs":400)"}) {
            const auto name = field.substr(0, field.find(':') + 1);
            text.replace(text.find(field), field.size(), std::string(name) + std::string(time));
        }
        const auto read = protocol::read_configuration(text);
        ASSERT_TRUE(read.has_value()) << time;
        const auto& route = read->hosts.front().routes.front();
        for (const auto value : {read->services.front().cold_start, route.timeout, route.target_latency,
                                 read->limits.idle_timeout}) {
            EXPECT_EQ(value, base::duration{24h}) << time;
        }
    }
}

// Guards against losing routes when only a part of the configuration can be parsed.
TEST(configuration, is_refused_entirely_when_a_part_is_invalid) {
    const std::string complete(configuration_text);
    for (const std::string_view removed :
         {R"("version":"0000001a",)", R"("prefix":"/b/",)", R"("host":"h.example",)"}) {
        std::string text = complete;
        text.erase(text.find(removed), removed.size());
        EXPECT_FALSE(protocol::read_configuration(text).has_value()) << removed;
    }
    EXPECT_FALSE(protocol::read_configuration(complete.substr(0, complete.size() / 2)).has_value());
}

TEST(subject_of, recognizes_each_kind_of_key) {
    EXPECT_EQ(protocol::subject_of("op/config").kind, store_key_kind::configuration);
    EXPECT_EQ(protocol::subject_of("servers/i-1"), (fleet::store_key_subject{store_key_kind::server, "i-1"}));
    EXPECT_EQ(protocol::subject_of("op/evacuate/z"),
              (fleet::store_key_subject{store_key_kind::evacuation, "z"}));
    EXPECT_EQ(protocol::subject_of("carawayway/gateways/g"),
              (fleet::store_key_subject{store_key_kind::gateway, "g"}));
    EXPECT_EQ(protocol::subject_of("other/key").kind, store_key_kind::other);
}

TEST(quarantine_record, its_key_is_read_back) {
    const auto call = protocol::quarantine_call({"0123456789abcdef", "g", 3, false}, 42, 43);
    EXPECT_EQ(call.target, "/kv-txn");
    EXPECT_EQ(call.verb, fleet::store_call::method::write);
    EXPECT_THAT(call.body, testing::HasSubstr(R"("lease":42)"));
    EXPECT_THAT(call.body, testing::HasSubstr(R"("key":"carawayway/quarantine/0123456789abcdef")"));
    EXPECT_EQ(protocol::subject_of("carawayway/quarantine/0123456789abcdef"),
              (fleet::store_key_subject{store_key_kind::quarantine, "0123456789abcdef"}));
}

TEST(quarantine_record, a_quarantine_keeps_gateways_from_trials_and_its_end_does_not) {
    const auto begun = protocol::quarantine_call({"0123456789abcdef", "g", 3, false}, 42, 43).body;
    EXPECT_THAT(begun, testing::HasSubstr(R"("key":"carawayway/quarantine-trials/0123456789abcdef")"));
    EXPECT_THAT(begun, testing::HasSubstr(R"("lease":43)"));
    const auto ended = protocol::quarantine_call({"0123456789abcdef", "g", 3, true}, 42, 0).body;
    EXPECT_THAT(ended, testing::Not(testing::HasSubstr("quarantine-trials")));
    EXPECT_EQ(protocol::subject_of("carawayway/quarantine-trials/0123456789abcdef"),
              (fleet::store_key_subject{store_key_kind::quarantine_trial, "0123456789abcdef"}));
}

TEST(quarantine_record, a_trial_is_claimed_only_if_nobody_else_has) {
    const auto call = protocol::claim_trial_call("0123456789abcdef", "g", 42);
    EXPECT_THAT(
        call.body,
        testing::HasSubstr(R"("expect":[{"key":"carawayway/quarantine-trials/0123456789abcdef","rev":0}])"));
    EXPECT_THAT(call.body, testing::HasSubstr(R"("lease":42)"));
}

TEST(quarantine_record, its_value_is_read_back_also_from_older_gateways) {
    EXPECT_EQ(protocol::read_quarantine("7", R"({"recordedBy":"g","losses":4,"released":true})"),
              (fleet::content_quarantine{"7", "g", 4, true}));
    EXPECT_EQ(protocol::read_quarantine("7", R"({"recordedBy":"g"})"),
              (fleet::content_quarantine{"7", "g", 0, false}));
    EXPECT_EQ(protocol::read_quarantine("7", R"({"losses":-1})"), std::nullopt);
    EXPECT_EQ(protocol::read_quarantine("7", "{"), std::nullopt);
}

TEST(answers_record, it_is_read_back) {
    const auto call = protocol::answers_call({"0123456789abcdef", "g", 0x8000000000000001U}, 42);
    EXPECT_THAT(call.body, testing::HasSubstr(R"("key":"carawayway/answers/0123456789abcdef")"));
    EXPECT_THAT(call.body, testing::HasSubstr(R"("lease":42)"));
    EXPECT_EQ(protocol::subject_of("carawayway/answers/0123456789abcdef"),
              (fleet::store_key_subject{store_key_kind::answered_content, "0123456789abcdef"}));
    EXPECT_EQ(protocol::read_answers("7", R"({"recordedBy":"g","variants":"8000000000000001"})"),
              (fleet::answered_content{"7", "g", 0x8000000000000001U}));
    for (const auto* const value : {"{", "{}", R"({"variants":"1"})", R"({"variants":1})"}) {
        EXPECT_EQ(protocol::read_answers("7", value), std::nullopt) << value;
    }
}

TEST(permit_record, a_claim_holds_only_if_the_key_is_unchanged) {
    const fleet::request_permit permit{"i-1", 5, "r", 3, "g", "s", 7.5, false};
    const auto call = protocol::claim_call({permit, 9}, 42);
    EXPECT_EQ(call.target, "/kv-txn");
    EXPECT_THAT(call.body, testing::HasSubstr(R"("expect":[{"key":"carawayway/permits/i-1/3","rev":9}])"));
    EXPECT_THAT(call.body, testing::HasSubstr(R"("lease":42)"));
    const auto subject = protocol::subject_of("carawayway/permits/i-1/3");
    EXPECT_EQ(subject.kind, store_key_kind::permit);
    const auto key = protocol::read_permit_key(subject.name);
    ASSERT_EQ(key, (fleet::permit_key{"i-1", 3}));
    EXPECT_EQ(
        protocol::read_permit(
            *key,
            R"({"serverStartedAt":5,"region":"r","holder":"g","session":"s","requestsPerSecond":7.5,"ended":false})"),
        permit);
}

TEST(permit_record, a_release_marks_the_first_permit_and_removes_the_others) {
    const fleet::request_permit first{"i-1", 5, "r", 0, "g", "s", 7.5, false};
    auto second = first;
    second.number = 2;
    const auto call = protocol::release_call({"i-1", {{first, 8}, {second, 9}}}, 42);
    EXPECT_THAT(call.body, testing::HasSubstr(R"({"key":"carawayway/permits/i-1/0","rev":8})"));
    EXPECT_THAT(call.body, testing::HasSubstr(R"({"key":"carawayway/permits/i-1/2","rev":9})"));
    EXPECT_THAT(call.body, testing::HasSubstr(R"("deletes":["carawayway/permits/i-1/2"])"));
}

TEST(permit_record, of_another_form_is_none) {
    for (const auto* const name : {"i-1", "i-1/", "i-1/x", "i-1/-1", "i-1/99999999999"}) {
        EXPECT_EQ(protocol::read_permit_key(name), std::nullopt) << name;
    }
    for (
        const auto* const value :
        {"", "[]", R"({"holder":"g"})",
         R"({"serverStartedAt":5,"region":"r","holder":"g","session":"s","requestsPerSecond":-1,"ended":false})"}) {
        EXPECT_EQ(protocol::read_permit({"i-1", 0}, value), std::nullopt) << value;
    }
}

// The value of the first key that a transaction writes.
std::string written_value(std::string_view transaction) {
    constexpr std::string_view field = R"("value":")";
    const auto begin = transaction.find(field) + field.size();
    return carawayway::json::base64_decode(transaction.substr(begin, transaction.find('"', begin) - begin))
        .value_or("");
}

TEST(gateway_record, is_written_and_read_back) {
    const fleet::gateway_registration own{"g",           "z",           "r",   "10.0.0.1:80", "10.0.0.1:81",
                                          "10.0.0.1:82", "10.0.0.1:83", "key", {200.0, 0.5}};
    const auto call = protocol::register_call(own, 42);
    EXPECT_EQ(call.target, "/kv-txn");
    EXPECT_THAT(call.body, testing::HasSubstr(R"("lease":42)"));
    EXPECT_EQ(
        protocol::read_gateway(
            "g",
            R"({"domain":"z","region":"r","callers":"10.0.0.1:80","peers":"10.0.0.1:81","notices":"10.0.0.1:82","relays":"10.0.0.1:83","relayKey":"key","linkMegabits":200,"processorShare":0.5})"),
        own);
    EXPECT_EQ(protocol::read_gateway("g", written_value(call.body)), own);
    auto later = own;
    later.build = {"0123abc", 2};
    EXPECT_EQ(protocol::read_gateway("g", written_value(protocol::register_call(later, 42).body)), later);
    const auto without_notices = protocol::read_gateway(
        "g", R"({"domain":"z","region":"r","callers":"10.0.0.1:80","peers":"10.0.0.1:81"})");
    ASSERT_TRUE(without_notices.has_value());
    EXPECT_EQ(without_notices->notice_address, "") << "a gateway of an older version";
    EXPECT_EQ(without_notices->relay_address, "") << "a gateway of an older version";
    EXPECT_FALSE(protocol::read_gateway("g", R"({"domain":"z"})").has_value());
}

} // namespace
} // namespace platform
