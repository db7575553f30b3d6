// Checks that the pages for operators list the settings keys and metrics that the code declares.
#include "carawayway/config/key_table.hpp"
#include "carawayway/engine/request_engine.hpp"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <string>

namespace carawayway {
namespace {

std::string read_file(const std::filesystem::path& path) {
    std::ifstream file(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

std::string read_page(const std::string& name) {
    return read_file(std::filesystem::path(DOCS_FOLDER) / name);
}

// Guards against a key reference that was not regenerated after a key changed.
TEST(pages_test, the_key_reference_matches_the_code) {
    const std::string begin = "<!-- begin of the key reference, written by Meta/update-docs.sh -->\n";
    const std::string end = "<!-- end of the key reference -->\n";
    const auto page = read_page("OPERATING.md");
    const auto first = page.find(begin);
    const auto last = page.find(end);
    ASSERT_NE(first, std::string::npos);
    ASSERT_NE(last, std::string::npos);
    const auto text = page.substr(first + begin.size(), last - first - begin.size());
    EXPECT_EQ(text, config::key_reference_markdown()) << "run Meta/update-docs.sh";
}

// Returns the metric families of the engine's registry, and those that the sources declare elsewhere.
std::set<std::string> declared_metric_families() {
    metrics::metric_registry registry(10);
    const engine::request_engine engine({"entry-1", "domain-1", "region-1", 1, {}}, {}, 1, registry);
    std::string text = registry.to_prometheus();
    for (const auto& file : std::filesystem::recursive_directory_iterator(SOURCE_FOLDER)) {
        if (file.path().extension() == ".cpp") {
            text += read_file(file.path());
        }
    }
    const std::regex declaration(R"x((?:# HELP |\.declare\(\s*")(\w+))x");
    std::set<std::string> families;
    for (std::sregex_iterator found(text.begin(), text.end(), declaration), end; found != end; ++found) {
        families.insert((*found)[1]);
    }
    return families;
}

// Guards against a metric that is added without documentation.
TEST(pages_test, every_declared_metric_has_a_section_on_the_page) {
    const auto page = read_page("METRICS.md");
    const auto families = declared_metric_families();
    EXPECT_TRUE(families.contains("carawayway_requests_total"));
    EXPECT_TRUE(families.contains("carawayway_peer_bytes_total"));
    for (const auto& name : families) {
        EXPECT_NE(page.find("\n## " + name + "\n"), std::string::npos) << name;
    }
}

} // namespace
} // namespace carawayway
