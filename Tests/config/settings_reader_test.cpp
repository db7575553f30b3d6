// Tests that an entry instance does not start with mistyped or contradictory settings.
#include "carawayway/config/settings_reader.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace carawayway::config {
namespace {

constexpr std::string_view entry_section =
    "[entry]\nname = e1\nfailure_domain = a\nregion = r\n"
    "caller_address = 127.0.0.1:21000\npeer_address = [::1]:21100\n"
    "deployment_key_file = deployment.key\noperator_token_file = operator.token\n";
constexpr std::string_view platform_section = "[platform]\naddresses = 127.0.0.1:20079, [::1]:20080\n";
constexpr std::string_view peer_section =
    "[peer e2]\nfailure_domain = a\nregion = r\npeer_address = 127.0.0.1:21101\n"
    "caller_address = 127.0.0.1:21001\n";

std::string first_diagnostic_with(std::string_view more) {
    std::vector<diagnostic> diagnostics;
    read_settings(fmt::format("{}{}{}{}", entry_section, platform_section, peer_section, more), "e.ini",
                  diagnostics);
    return diagnostics.empty() ? "valid" : to_string(diagnostics.front());
}

TEST(settings_reader_test, all_sections_are_read) {
    std::vector<diagnostic> diagnostics;
    const auto read =
        read_settings(fmt::format("{}{}{}[timing]\nheartbeat_ms = 100\n[limits]\nbody_bytes = 4096\n",
                                  entry_section, platform_section, peer_section),
                      "e.ini", diagnostics);
    ASSERT_TRUE(read.has_value());
    instance_settings expected;
    expected.name = "e1";
    expected.failure_domain = "a";
    expected.region = "r";
    expected.caller_address = {"127.0.0.1", 21000};
    expected.peer_address = {"::1", 21100};
    expected.deployment_key_file = "deployment.key";
    expected.operator_token_file = "operator.token";
    expected.platform_addresses = {{"127.0.0.1", 20079}, {"::1", 20080}};
    expected.seeds = {{"e2", "a", "r", {"127.0.0.1", 21101}, {"127.0.0.1", 21001}}};
    expected.heartbeat_interval = std::chrono::milliseconds(100);
    expected.body_limit = 4096;
    EXPECT_EQ(*read, expected);
}

TEST(settings_reader_test, contradictions_are_reported_with_their_line) {
    const std::string peer = "region = r\npeer_address = 127.0.0.1:3\ncaller_address = 127.0.0.1:4\n";
    EXPECT_EQ(first_diagnostic_with("[timing]\nheartbeat_ms = 2000\n"),
              "e.ini:17: [timing] heartbeat_ms: expected at most half of ownership_term_ms");
    EXPECT_EQ(first_diagnostic_with("[timing]\npause_limit_ms = 3000\n"),
              "e.ini:17: [timing] pause_limit_ms: expected less than ownership_term_ms");
    EXPECT_EQ(first_diagnostic_with("[peer e1]\nfailure_domain = a\n" + peer),
              "e.ini:16: [peer e1]: expected a peer other than this entry instance");
    EXPECT_EQ(first_diagnostic_with("[peer e3]\nfailure_domain = a\nregion = q\npeer_address = 127.0.0.1:3\n"
                                    "caller_address = 127.0.0.1:4\n"),
              "e.ini:18: [peer e3] region: expected r, the region of its failure domain");
    EXPECT_EQ(
        first_diagnostic_with("[peer e3]\nfailure_domain = b\nregion = r\npeer_address = 127.0.0.1:21101\n"
                              "caller_address = 127.0.0.1:4\n"),
        "e.ini:19: [peer e3] peer_address: expected an address that no other setting uses");
    EXPECT_EQ(first_diagnostic_with("[timings]\nheartbeat_ms = 1\n"),
              "e.ini:16: [timings]: expected a known section; nearest known section timing");
    EXPECT_EQ(first_diagnostic_with("[limits]\nheader_bytes = 1e4\n"),
              "e.ini:17: [limits] header_bytes: expected an integer from 1024 to 32768 (bytes)");
}

TEST(settings_reader_test, missing_keys_and_sections_are_reported) {
    std::vector<diagnostic> diagnostics;
    EXPECT_FALSE(read_settings("[entry]\nname = e1\n", "e.ini", diagnostics).has_value());
    EXPECT_EQ(diagnostics.size(), 7U); // six keys of [entry] and the section [platform]
}

} // namespace
} // namespace carawayway::config
