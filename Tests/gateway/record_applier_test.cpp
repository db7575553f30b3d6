// Checks how store records of many writers are applied, some of them unreadable.
#include "carawayway/gateway/record_applier.hpp"
#include "platform/protocol.hpp"

#include <boost/asio/io_context.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace carawayway::gateway {
namespace {

constexpr base::time_point start{std::chrono::hours{1}};
constexpr std::size_t entries = 1000;
constexpr std::size_t bad_one_in = 10;

fleet::store_record record(std::string key, std::string value) {
    return {std::move(key), std::move(value), {1, 0}, false};
}

std::string server_record(std::string_view address) {
    return fmt::format(
        R"({{"address":"{}","info":{{"service":"s","zone":"a","slots":6}},"status":{{"state":"ready","coldLeftMs":0}}}})",
        address);
}

// Returns the text with a few values, bytes or parts of it replaced by others.
std::string spoiled(std::string text, std::minstd_rand& random) {
    static const std::vector<std::string> replacements{"",
                                                       "null",
                                                       "true",
                                                       "[]",
                                                       "{}",
                                                       "-1",
                                                       "0",
                                                       "65536",
                                                       "4294967296",
                                                       "9007199254740993",
                                                       "18446744073709551616",
                                                       "-9223372036854775809",
                                                       "0.5",
                                                       "1e308",
                                                       "1e309",
                                                       "-1e400",
                                                       "1e99999999999",
                                                       "\"\"",
                                                       "\"10.0.0.1:0\"",
                                                       "\"10.0.0.1:70000\"",
                                                       "\"\\u0000\"",
                                                       "\"\\ud800\"",
                                                       "\"\\r\\n\"",
                                                       "\"\xff\"",
                                                       std::string(40, '['),
                                                       std::string(10'000, '{'),
                                                       std::string(10'000, '9')};
    const auto below = [&random](std::size_t count) { return random() % count; };
    const std::size_t changes = 1 + below(3);
    for (std::size_t change = 0; change < changes && !text.empty(); ++change) {
        const auto position = below(text.size());
        switch (below(4)) {
        case 0: // the value of a field
            if (const auto colon = text.find(':', position); colon != std::string::npos) {
                const auto end = std::min(text.find_first_of(",}", colon), text.size());
                text.replace(colon + 1, end - colon - 1, replacements[below(replacements.size())]);
            }
            break;
        case 1:
            text[position] = static_cast<char>(below(256));
            break;
        case 2:
            text.erase(position, 1 + below(20));
            break;
        default: // the same again, so that fields occur twice
            text.insert(position, text.substr(below(text.size()), 30));
            break;
        }
    }
    return text;
}

class record_applier_test : public testing::Test {
protected:
    // Applies good entries with a bad one in each ten, which `bad_values` are used for in turn.
    template <class MakeGood, std::size_t Count>
    void apply(const char* prefix, const MakeGood& make_good,
               const std::array<const char*, Count>& bad_values) {
        std::vector<fleet::store_record> records;
        for (std::size_t index = 0; index < entries; ++index) {
            const bool is_bad = index % bad_one_in == 0;
            records.push_back(record(fmt::format("{}e{}", prefix, index),
                                     is_bad ? bad_values.at(index / bad_one_in % Count) : make_good(index)));
        }
        m_applier.apply(records, removal_certainty::confirmed, start);
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
    record_applier<platform::protocol> m_applier{m_state, [] {}};
};

// Guards against a listing of which nothing is used because a few servers wrote something else.
TEST_F(record_applier_test, bad_servers_cost_nothing_but_themselves) {
    const std::array bad_values{
        "",
        "null",
        "\xff\xfe",
        R"({"address":"a:1"})",
        R"({"address":7,"info":{"service":"s","zone":"a","slots":1},"status":{"state":"ready","coldLeftMs":0}})",
        R"({"address":"a:1","info":{"service":"s","zone":"a","slots":"6"},"status":{"state":"ready","coldLeftMs":0}})"};
    apply(
        "servers/",
        [](std::size_t index) {
            return fmt::format(
                R"({{"address":"10.0.0.1:{}","info":{{"service":"s","zone":"a","slots":6}},"status":{{"state":"ready","coldLeftMs":0}}}})",
                index + 1);
        },
        bad_values);
    EXPECT_EQ(m_state.servers.size(), entries - entries / bad_one_in);
}

// Guards against requests to an address that no server can have, and against a gateway that counts such a
// record as a server.
TEST_F(record_applier_test, a_server_without_a_usable_address_is_not_used) {
    using namespace std::string_view_literals;
    for (const auto address : {
             ""sv,
             ":"sv,
             ":80"sv,
             "10.0.0.1"sv,
             "10.0.0.1:"sv,
             "10.0.0.1:0"sv,
             "10.0.0.1:65536"sv,
             "10.0.0.1:99999999999"sv,
             "10.0.0.1:-1"sv,
             "10.0.0.1:+80"sv,
             "10.0.0.1: 80"sv,
             "10.0.0.1:80 "sv,
             "10.0.0.1:8e1"sv,
             "10.0.0.1:0x50"sv,
             "10.0.0.256:80"sv,
             "server.example:80"sv,
             "http://10.0.0.1:80"sv,
             "[::1:80"sv,
             "0.0.0.0:80"sv,
             "[::]:80"sv,
             "255.255.255.255:80"sv,
             "224.0.0.1:80"sv,
             "[ff02::1]:80"sv,
             R"([fe80::1%\r\nDeadline-Ms: 1]:80)"sv,
             R"(10.0.0.1\u0000:80)"sv,
         }) {
        m_applier.apply({record("servers/i", server_record(address))}, removal_certainty::confirmed, start);
        EXPECT_EQ(m_state.servers.size(), 0U) << address;
    }
    std::size_t index = 0;
    for (const auto address : {"10.0.0.1:1"sv, "10.0.0.1:65535"sv, "127.0.0.1:80"sv, "[2001:db8::1]:80"sv}) {
        m_applier.apply({record(fmt::format("servers/i-{}", ++index), server_record(address))},
                        removal_certainty::confirmed, start);
        EXPECT_EQ(m_state.servers.size(), index) << address;
    }
}

// Guards against gateways that are not known to the others because one of them wrote something else.
TEST_F(record_applier_test, bad_gateways_cost_nothing_but_themselves) {
    const std::array bad_values{"", "[]", "{}", R"({"domain":"a","region":"r","callers":7,"peers":"p:1"})"};
    apply(
        "carawayway/gateways/",
        [](std::size_t index) {
            return fmt::format(
                R"({{"domain":"a","region":"r","callers":"10.0.0.1:{}","peers":"10.0.0.2:{}","linkMegabits":"much"}})",
                index + 1, index + 1);
        },
        bad_values);
    EXPECT_EQ(m_state.servers.gateways().all().size(), entries - entries / bad_one_in);
}

// Guards against look-ups that name an address to which no caller can connect.
TEST_F(record_applier_test, a_gateway_without_usable_addresses_is_not_used) {
    const auto apply_gateway = [this](std::string_view callers, std::string_view peers) {
        m_applier.apply({record("carawayway/gateways/e",
                                fmt::format(R"({{"domain":"a","region":"r","callers":"{}","peers":"{}"}})",
                                            callers, peers))},
                        removal_certainty::confirmed, start);
        return m_state.servers.gateways().all().size();
    };
    for (const auto* const address :
         {"", "10.0.0.1", "10.0.0.1:0", "10.0.0.1:65536", "gateway.example:80", "0.0.0.0:80"}) {
        EXPECT_EQ(apply_gateway(address, "10.0.0.2:1"), 0U) << address;
        EXPECT_EQ(apply_gateway("10.0.0.1:1", address), 0U) << address;
    }
    EXPECT_EQ(apply_gateway("10.0.0.1:1", "10.0.0.2:1"), 1U);
}

// Guards against any record that ends the process, costs others, or names a server that cannot be used.
TEST_F(record_applier_test, random_records_cost_nothing_but_themselves) {
    constexpr unsigned seed = 20261205;
    constexpr std::size_t odd_records = 20'000;
    constexpr auto longest_cold_time = std::chrono::hours{24};
    const std::vector<std::pair<std::string, std::string>> templates{
        {"servers/odd",
         R"({"address":"10.0.0.1:80","born":1790000000123,"info":{"service":"s","version":"v","zone":"a","slots":6},)"
         R"("status":{"state":"ready","seq":4,"coldLeftMs":0}})"},
        {"carawayway/gateways/odd",
         R"({"domain":"a","region":"r","callers":"10.0.0.1:1","peers":"10.0.0.2:1","linkMegabits":10})"},
        {"carawayway/permits/odd/1",
         R"({"serverStartedAt":1,"region":"r","holder":"g2","session":"s","requestsPerSecond":5,"ended":false})"},
        {"carawayway/quarantine/0123456789abcdef", "{}"},
        {"op/evacuate/odd", "{}"}};
    base::set_log_level(base::log_level::error);
    for (std::size_t index = 0; index < entries; ++index) {
        m_applier.apply({record(fmt::format("servers/e{}", index), server_record("10.0.0.2:80"))},
                        removal_certainty::confirmed, start);
    }
    std::minstd_rand random(seed);
    std::size_t used = 0;
    for (std::size_t index = 0; index < odd_records; ++index) {
        const auto& [key, value] = templates[random() % templates.size()];
        // The first bytes of the key stay, so that no good record is replaced.
        const auto odd_key = random() % 2 == 0 ? key : key + spoiled("-1/2", random);
        const auto odd_value = spoiled(value, random);
        ASSERT_NO_THROW(m_applier.apply({record(odd_key, odd_value)}, removal_certainty::confirmed, start))
            << odd_key << ' ' << odd_value;
        const auto server = m_state.servers.find(odd_key.substr(odd_key.find('/') + 1));
        if (!server) {
            continue;
        }
        ++used;
        const auto& registration = server->registration;
        EXPECT_TRUE(net::parse_remote_endpoint(registration.address)) << odd_value;
        EXPECT_TRUE(registration.slots >= 1 && registration.slots <= 65'535) << odd_value;
        EXPECT_LE(registration.cold_left, longest_cold_time) << odd_value;
        EXPECT_TRUE(std::all_of(registration.id.begin(), registration.id.end(), [](char character) {
            return character > ' ' && character <= '~';
        })) << odd_key;
        m_applier.apply({{odd_key, {}, {1, 0}, true}}, removal_certainty::confirmed, start);
    }
    base::set_log_level(base::log_level::info);
    EXPECT_GT(used, 0U); // some are spoiled only where it does not matter
    EXPECT_EQ(m_state.servers.size(), entries);
}

} // namespace
} // namespace carawayway::gateway
