// Reads what gateways of earlier commits write. Each file here is named by its commit and was written by
// Meta/keep-messages.sh, with the code of that commit and the values of write_samples.cpp.
#include "carawayway/fleet/replication_codec.hpp"
#include "carawayway/gateway/content_fingerprint.hpp"
#include "carawayway/gateway/crash_notice_codec.hpp"
#include "carawayway/gateway/relay_headers.hpp"
#include "carawayway/json/base64.hpp"
#include "platform/protocol.hpp"

#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>
#include <map>
#include <optional>
#include <ostream>
#include <string>

namespace carawayway {
namespace {

using platform::protocol;

struct kept_commit {
    const char* name;
    bool relays_requests; // gateways of the commit relay requests
    bool tells_machine;   // registrations of the commit tell what the machine has
};

std::ostream& operator<<(std::ostream& out, const kept_commit& commit) {
    return out << commit.name;
}

struct written_record {
    fleet::store_key_subject subject;
    std::string value;
};

std::string from_hexadecimal(const std::string& digits) {
    constexpr int base = 16;
    std::string bytes;
    for (std::size_t index = 0; index + 1 < digits.size(); index += 2) {
        bytes.push_back(static_cast<char>(std::stoi(digits.substr(index, 2), nullptr, base)));
    }
    return bytes;
}

gateway::http::fields headers_of(const std::string& text) {
    gateway::http::fields headers;
    for (std::size_t begin = 0; begin < text.size();) {
        const auto end = std::min(text.find(';', begin), text.size());
        const auto middle = text.find('=', begin);
        headers.set(text.substr(begin, middle - begin), text.substr(middle + 1, end - middle - 1));
        begin = end + 1;
    }
    return headers;
}

class kept_messages_test : public testing::TestWithParam<kept_commit> {
protected:
    kept_messages_test() {
        std::ifstream file(std::string(KEPT_MESSAGES_FOLDER "/") + GetParam().name + ".txt");
        for (std::string line; std::getline(file, line);) {
            const auto space = line.find(' ');
            m_messages[line.substr(0, space)] = line.substr(space + 1);
        }
    }

    std::string message(const std::string& name) const { return m_messages.at(name); }
    std::string bytes(const std::string& name) const { return from_hexadecimal(message(name)); }

    // The only record that a transaction writes.
    written_record record(const std::string& name) const {
        const auto transaction = boost::json::parse(message(name));
        const auto& writes = transaction.at("writes").as_array();
        EXPECT_EQ(writes.size(), 1U);
        const std::string key(writes.at(0).at("key").as_string());
        const std::string value(writes.at(0).at("value").as_string());
        return {protocol::subject_of(key), json::base64_decode(value).value()};
    }

    std::map<std::string, std::string> m_messages; // by name
};

std::span<const std::byte> as_bytes(const std::string& text) {
    return std::as_bytes(std::span(text));
}

// Guards against gateways of a new build that take the records of the old ones for nothing.
TEST_P(kept_messages_test, replication_is_read) {
    EXPECT_EQ(fleet::decode_request(as_bytes(bytes("replication-request"))),
              (fleet::replication_request{fleet::store_revision{77, 3}, std::chrono::milliseconds{700}}));
    EXPECT_EQ(fleet::decode_reply(as_bytes(bytes("replication-reply"))),
              (fleet::replication_reply{
                  fleet::store_revision{90, 3},
                  true,
                  {{"servers/a", std::string("\0\xff{}", 4), fleet::store_revision{80, 2}, false},
                   {"op/evacuate/b", {}, fleet::store_revision{90, 3}, true}},
                  true,
                  std::chrono::milliseconds{2300}}));
}

// Guards against crash-causing requests that a new build lets pass, because the old one learned of them.
TEST_P(kept_messages_test, crashes_and_quarantines_are_read) {
    EXPECT_EQ(gateway::decode_crash_notice(as_bytes(bytes("crash-notice"))),
              (std::vector<steering::crash_count>{{0xfedcba9876543210U, 2}, {1, 0}}));
    const auto quarantine = record("quarantine");
    EXPECT_EQ(quarantine.subject.kind, fleet::store_key_kind::quarantine);
    EXPECT_EQ(gateway::fingerprint_from_text(quarantine.subject.name), 0x0123456789abcdefU);
}

// Guards against gateways of an old build that a new one does not know, or takes for others than they are.
TEST_P(kept_messages_test, registrations_are_read) {
    const auto written = record("registration");
    EXPECT_EQ(written.subject, (fleet::store_key_subject{fleet::store_key_kind::gateway, "g"}));
    fleet::gateway_registration expected{"g", "z", "r", "10.0.0.1:80", "10.0.0.1:81", "10.0.0.1:82"};
    if (GetParam().relays_requests) {
        expected.relay_address = "10.0.0.1:83";
        expected.relay_key = "key";
    }
    if (GetParam().tells_machine) {
        expected.machine = {200.0, 0.5};
    }
    EXPECT_EQ(protocol::read_gateway(written.subject.name, written.value), expected);
}

// Guards against a new build that claims permits which gateways of the old one hold.
TEST_P(kept_messages_test, permits_are_read) {
    for (const bool has_ended : {false, true}) {
        const auto written = record(has_ended ? "permit-release" : "permit");
        EXPECT_EQ(written.subject.kind, fleet::store_key_kind::permit);
        const auto key = protocol::read_permit_key(written.subject.name);
        ASSERT_EQ(key, (fleet::permit_key{"i-1", 3}));
        EXPECT_EQ(protocol::read_permit(*key, written.value),
                  (fleet::request_permit{"i-1", 5, "r", 3, "g", "s", 7.5, has_ended}));
    }
}

// Guards against relayed requests that are refused, or that run again, because one side reads the other
// wrongly.
TEST_P(kept_messages_test, relayed_requests_are_read) {
    EXPECT_EQ(m_messages.contains("relayed-call"), GetParam().relays_requests);
    if (!GetParam().relays_requests) {
        return;
    }
    const auto call = headers_of(message("relayed-call"));
    EXPECT_TRUE(gateway::has_relay_key(call, "key"));
    EXPECT_EQ(gateway::read_relayed_call(call),
              (gateway::relayed_call{std::chrono::microseconds{1500}, 1, true, 9}));
    EXPECT_EQ(gateway::read_relay_verdict(headers_of(message("relay-answer"))),
              (gateway::relay_verdict{std::nullopt, "i-1"}));
    EXPECT_EQ(gateway::read_relay_verdict(headers_of(message("relay-refusal"))),
              (gateway::relay_verdict{base::error_kind::peer_refused, ""}));
}

// The record with a field that no build knows.
std::string with_unknown_field(const std::string& value) {
    auto record = boost::json::parse(value).as_object();
    record["ofALaterBuild"] = boost::json::object{{"level", 7}};
    return boost::json::serialize(record);
}

// Guards against gateways of a later build, and permits that they hold, which are not known for a field that
// they add.
TEST_P(kept_messages_test, records_with_unknown_fields_are_read) {
    const auto registration = record("registration");
    EXPECT_EQ(protocol::read_gateway("g", with_unknown_field(registration.value)),
              protocol::read_gateway("g", registration.value));
    const auto permit = record("permit");
    EXPECT_EQ(protocol::read_permit({"i-1", 3}, with_unknown_field(permit.value)),
              protocol::read_permit({"i-1", 3}, permit.value));
}

INSTANTIATE_TEST_SUITE_P(commits, kept_messages_test,
                         testing::Values(kept_commit{"e2dbd52", false, false},
                                         kept_commit{"fd893f1", true, false},
                                         kept_commit{"16f58f8", true, true}),
                         [](const auto& commit) { return std::string(commit.param.name); });

} // namespace
} // namespace carawayway
