// Guards the operators' pages against falling behind the code.
#include "carawayway/config/key_table.hpp"
#include "carawayway/engine/request_engine.hpp"

#include <gtest/gtest.h>

#include <fstream>
#include <iterator>
#include <sstream>

namespace carawayway {
namespace {

std::string read_page(const std::string& name) {
    std::ifstream file(std::string(DOCS_FOLDER) + "/" + name, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

TEST(pages_test, the_key_reference_of_the_page_is_that_of_the_code) {
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

TEST(pages_test, every_declared_metric_has_a_section_on_the_page) {
    metrics::metric_registry registry(10);
    const engine::request_engine engine({"entry-1", "domain-1", "region-1", 1, {}}, {}, 1, registry);
    std::istringstream text(registry.to_prometheus());
    const auto page = read_page("METRICS.md");
    std::size_t families = 0;
    for (std::string line; std::getline(text, line);) {
        if (!line.starts_with("# HELP ")) {
            continue;
        }
        const auto name = line.substr(7, line.find(' ', 7) - 7);
        EXPECT_NE(page.find("\n## " + name + "\n"), std::string::npos) << name;
        ++families;
    }
    EXPECT_GT(families, 0U);
}

} // namespace
} // namespace carawayway
