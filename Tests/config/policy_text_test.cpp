// Tests reading and writing of policy documents: a mistyped document must give diagnostics instead of a
// crash, and a written policy must read back equal.
#include "Tests/config/sample_policy.hpp"
#include "carawayway/config/policy_reader.hpp"
#include "carawayway/config/policy_validator.hpp"
#include "carawayway/config/policy_writer.hpp"
#include "carawayway/config/settings_reader.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace carawayway::config {
namespace {

// Checks that neither reader throws or crashes and that each gives either a value or diagnostics.
void check_readers_handle(const std::string& text) {
    std::vector<diagnostic> policy_diagnostics;
    const auto content = read_policy(text, "policy.ini", policy_diagnostics);
    RC_ASSERT(content.has_value() == policy_diagnostics.empty());
    RC_ASSERT(policy_diagnostics.size() <= 100U);
    if (content.has_value()) {
        validate(*content);
    }
    std::vector<diagnostic> settings_diagnostics;
    const auto settings = read_settings(text, "entry.ini", settings_diagnostics);
    RC_ASSERT(settings.has_value() == settings_diagnostics.empty());
}

std::vector<diagnostic> diagnostics_of(std::string_view text) {
    std::vector<diagnostic> diagnostics;
    read_valid_policy(text, "p.ini", diagnostics);
    return diagnostics;
}

TEST(policy_text_test, a_written_policy_reads_back_equal) {
    EXPECT_TRUE(rc::check([] {
        const auto written = arbitrary_policy();
        RC_ASSERT(validate(written).empty());
        std::vector<diagnostic> diagnostics;
        const auto read = read_valid_policy(to_ini(written), "p.ini", diagnostics);
        RC_ASSERT(diagnostics.empty());
        RC_ASSERT(read == written);
    }));
    std::vector<diagnostic> diagnostics;
    EXPECT_EQ(read_valid_policy(to_ini(sample_policy()), "p.ini", diagnostics), sample_policy());
}

// A comment with line breaks must not add sections to the document.
TEST(policy_text_test, control_characters_do_not_add_lines) {
    auto forged = sample_policy();
    forged.comment = "x\n[region forged]\r\ncapacity = 1";
    EXPECT_FALSE(validate(forged).empty());
    std::vector<diagnostic> diagnostics;
    const auto read = read_policy(to_ini(forged), "p.ini", diagnostics);
    ASSERT_TRUE(read.has_value());
    EXPECT_EQ(read->regions, forged.regions);
}

TEST(policy_text_test, random_text_gives_diagnostics) {
    EXPECT_TRUE(rc::check([] { check_readers_handle(*rc::gen::arbitrary<std::string>()); }));
    EXPECT_TRUE(rc::check([] {
        check_readers_handle(
            *rc::gen::container<std::string>(rc::gen::elementOf(std::string("[]=.;#: \t\r\n\0a1/,", 16))));
    }));
}

TEST(policy_text_test, mutated_documents_give_diagnostics_or_a_policy) {
    const std::string original = to_ini(sample_policy());
    EXPECT_TRUE(rc::check([&original] {
        std::string text = original;
        const auto mutations = *rc::gen::inRange(1, 6);
        for (int round = 0; round < mutations; ++round) {
            const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
            const auto length = *rc::gen::inRange<std::size_t>(0, 20);
            const auto inserted =
                *rc::gen::element<std::string>("", "\n", "[", "]", "=", "-1", "9999999999999", "nan",
                                               std::string(1, '\0'), "\xff", original.substr(0, 90));
            text.replace(position, length, inserted);
        }
        check_readers_handle(text);
    }));
}

// The number of diagnostics, and with it time and memory, must stay limited for a malicious document.
TEST(policy_text_test, large_malicious_documents_give_a_limited_number_of_diagnostics) {
    std::string many_sections = "[policy]\n";
    std::string many_keys = "[policy]\n";
    for (int index = 0; index < 30000; ++index) {
        many_sections += fmt::format("[server {}]\nservice=x{}\n", index, index);
        many_keys += fmt::format("unknown-{}=1\n", index);
    }
    EXPECT_LE(diagnostics_of(many_sections).size(), 100U);
    EXPECT_EQ(diagnostics_of(many_keys).size(), 100U);
    EXPECT_FALSE(diagnostics_of("[policy]\n" + std::string(900'000, 'a') + "=1").empty());
    EXPECT_EQ(diagnostics_of(std::string(1'000'001, '\n')).size(), 1U);
}

TEST(policy_text_test, mistakes_are_reported_with_their_location_and_the_nearest_key) {
    const auto first = [](std::string_view text) {
        const auto problems = diagnostics_of(text);
        return problems.empty() ? std::string("valid") : to_string(problems.front());
    };
    EXPECT_EQ(first("; note\n[policy]\ncomment = a\nlookup_lifetme_ms = 5\n"),
              "p.ini:4: [policy] lookup_lifetme_ms: expected a known key of [policy]; nearest known key "
              "lookup_lifetime_ms");
    EXPECT_EQ(first("[policy]\n[servce a]\ncustomer=b\n"),
              "p.ini:2: [servce a]: expected a known section; nearest known section service");
    EXPECT_EQ(first("[policy]\n\n[region a]\ncapacity = many\n"),
              "p.ini:4: [region a] capacity: expected an integer from 1 to 1000000 (requests)");
    EXPECT_EQ(first("[policy]\n[region north]\n[domain d]\nregion = nort\n"),
              "p.ini:4: [domain d] region: expected the name of a region in this policy; nearest name north");
    EXPECT_EQ(first("[policy]\n[domain d]\n"),
              "p.ini:2: [domain d] region: expected a name of 1 to 63 characters a-z, 0-9 and -");
    EXPECT_EQ(first("[policy]\n[region a]\n[region  a]\n"),
              "p.ini:3: [region  a]: expected a unique section name");
    EXPECT_EQ(first("[policy]\ncomment=a\ncomment=b\n"),
              "p.ini:3: expected valid INI text (duplicate key name)");
    EXPECT_EQ(first(""), "p.ini: [policy]: expected this required section");
    EXPECT_EQ(first("[policy x]\n"), "p.ini:1: [policy x]: expected [policy] without a name");
    EXPECT_EQ(first("comment=a\n[policy]\n"),
              "p.ini:1: comment: expected a section header before the first key");
    EXPECT_EQ(first("[policy] comment=a\n"), "p.ini:1: [policy]: expected nothing after the section header");
}

// PropertyTree drops sections without keys, but a region without a capacity must not be lost.
TEST(policy_text_test, sections_without_keys_are_kept) {
    std::vector<diagnostic> diagnostics;
    const auto read =
        read_policy("[policy]\r\n[region a]\r\n[region b]\r\ncapacity = 2\r\n[region c]", "p", diagnostics);
    ASSERT_TRUE(read.has_value());
    EXPECT_EQ(read->regions, (std::vector<region_policy>{{"a", {}}, {"b", 2}, {"c", {}}}));
}

// PropertyTree treats a dot as a path separator; neither a dot nor a colon may split a key.
TEST(policy_text_test, prefixes_with_dots_and_colons_are_keys) {
    std::vector<diagnostic> diagnostics;
    const auto read =
        read_policy("[policy]\n[client_blocks]\n10.1.0.0/16 = a\n2001:db8::/32 = b\n", "p", diagnostics);
    ASSERT_TRUE(read.has_value());
    EXPECT_EQ(read->client_blocks,
              (std::vector<client_block_policy>{{"10.1.0.0/16", "a"}, {"2001:db8::/32", "b"}}));
}

} // namespace
} // namespace carawayway::config
