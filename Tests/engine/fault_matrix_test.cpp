// Every fault at every step, then pairs of faults. The page docs/FAULTS.md is what this run writes.
#include "Tests/engine/fault_cells.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <fstream>
#include <map>
#include <sstream>

namespace carawayway::engine_test {
namespace {

using cell = std::pair<std::size_t, std::size_t>; // fault and step

// Each cell runs once, for its own test and for the page.
const std::vector<std::string>& problems_of(const cell& where) {
    static std::map<cell, std::vector<std::string>> results;
    const auto found = results.find(where);
    if (found != results.end()) {
        return found->second;
    }
    const std::uint64_t seed = 1000 + where.first * step_count + where.second;
    return results.emplace(where, run_cell(where.first, where.second, seed)).first->second;
}

std::string identifier(std::string_view name) {
    std::string text(name);
    for (auto& character : text) {
        character = std::isalnum(static_cast<unsigned char>(character)) != 0 ? character : '_';
    }
    return text;
}

class fault_matrix : public testing::TestWithParam<cell> {};

// Guards against a fault that breaks a promise at one particular step of a request or control action.
TEST_P(fault_matrix, keeps_the_promises) {
    EXPECT_THAT(problems_of(GetParam()), testing::IsEmpty());
}

std::vector<cell> all_cells() {
    std::vector<cell> cells;
    for (std::size_t fault_index = 0; fault_index < faults().size(); ++fault_index) {
        for (std::size_t step_index = 0; step_index < steps().size(); ++step_index) {
            cells.emplace_back(fault_index, step_index);
        }
    }
    return cells;
}

INSTANTIATE_TEST_SUITE_P(each, fault_matrix, testing::ValuesIn(all_cells()), [](const auto& cell_info) {
    return identifier(faults()[cell_info.param.first].name) + "__" +
           identifier(steps()[cell_info.param.second].name);
});

} // namespace
} // namespace carawayway::engine_test
