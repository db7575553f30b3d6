// Tests `carawayway check`, and that the example files are valid, since new operators start from them.
#include "carawayway/config/check_file.hpp"
#include "carawayway/config/policy_reader.hpp"

#include <gtest/gtest.h>

#include <array>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>

namespace carawayway::config {
namespace {

struct check_result {
    int status = 0;
    std::string output;
};

check_result check(const std::string& file) {
    char* text = nullptr;
    std::size_t size = 0;
    std::FILE* const out = open_memstream(&text, &size);
    check_result result;
    result.status = run_check(file, out);
    std::fclose(out);
    result.output.assign(text, size);
    std::free(text); // open_memstream allocates with malloc
    return result;
}

std::string file_text(const std::string& file) {
    std::ostringstream text;
    text << std::ifstream(file).rdbuf();
    return text.str();
}

TEST(check_file_test, the_kind_is_detected_from_the_content) {
    EXPECT_EQ(detect_document_kind("# [policy]\n [entry]\nname = [x]\n"), document_kind::entry_settings);
    EXPECT_EQ(detect_document_kind("[region a]\n[policy"), document_kind::policy);
    EXPECT_EQ(detect_document_kind("entry = 1\n[other]\n"), std::nullopt);
}

TEST(check_file_test, unreadable_files_and_files_of_unknown_kind_give_status_2) {
    EXPECT_EQ(check("no/such/file.ini").status, 2);
    EXPECT_EQ(check(EXAMPLES_FOLDER).status, 2); // a directory
    EXPECT_EQ(check("/dev/null").status, 2);
}

TEST(check_file_test, all_examples_are_valid) {
    std::size_t checked = 0;
    for (const auto& item : std::filesystem::recursive_directory_iterator(EXAMPLES_FOLDER)) {
        if (item.path().extension() == ".ini") {
            const auto result = check(item.path());
            EXPECT_EQ(result.status, 0) << result.output;
            ++checked;
        }
    }
    EXPECT_EQ(checked, 20U); // two policies, 8 and 10 entry instances
}

// The expected numbers of servers and slots are those of section 1 of the design document.
TEST(check_file_test, example_policies_have_the_designed_numbers_of_servers_and_slots) {
    const auto server_and_slot_counts = [](const std::string& folder) {
        std::vector<diagnostic> diagnostics;
        const auto content =
            read_valid_policy(file_text(std::string(EXAMPLES_FOLDER) + "/" + folder + "/policy.ini"),
                              "policy.ini", diagnostics);
        std::map<std::string, std::array<std::uint32_t, 2>> sizes;
        for (const auto& server : content.value().servers) {
            ++sizes[server.service][0];
            sizes[server.service][1] += server.slots;
        }
        return sizes;
    };
    using sizes = std::map<std::string, std::array<std::uint32_t, 2>>;
    EXPECT_EQ(
        server_and_slot_counts("association"),
        (sizes{{"hinnasto", {12, 36}}, {"saatavuus", {16, 96}}, {"siirto", {12, 36}}, {"varaus", {12, 48}}}));
    EXPECT_EQ(
        server_and_slot_counts("drain-firm"),
        (sizes{{"durum", {14, 84}}, {"ekip", {12, 36}}, {"randevu", {12, 36}}, {"tahsilat", {12, 36}}}));
}

} // namespace
} // namespace carawayway::config
