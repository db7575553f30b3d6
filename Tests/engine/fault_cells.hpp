// The faults and the steps at which they begin, and one short run for each cell of the matrix.
#pragma once

#include "Tests/engine/callers.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace carawayway::engine_test {

enum class service_during : std::uint8_t {
    all,  // every request is executed in spite of the fault
    some, // refused and unknown outcomes are allowed while it lasts
};

// What the run has reached when the fault begins.
struct fault_place {
    std::string entry;
    std::string server;
};

enum class fault_reach : std::uint8_t { local, cut };

struct fault {
    std::string_view name;
    void (*begin)(engine_world& world, callers& callers, const fault_place& place);
    void (*end)(engine_world& world, const fault_place& place);
    base::duration length;
    // After the end of the fault every request is executed from this time on.
    base::duration recovery;
    service_during during = service_during::some;
    fault_reach reach = fault_reach::local;
};

struct step_plan {
    step value;
    std::string_view name;
    // Brings the run to the step, besides the steady load.
    void (*prepare)(engine_world& world, callers& callers);
    // Undoes what `prepare` broke, when the fault ends.
    void (*restore)(engine_world& world);
    service_during during = service_during::all;
    base::duration recovery{};
};

const std::vector<fault>& faults();
const std::vector<step_plan>& steps();

struct second_fault {
    std::size_t fault = 0;
    base::duration after{}; // since the begin of the first one
};

// Runs the fault at the step, and the second one if there is one. Returns what went wrong, one line each.
std::vector<std::string> run_cell(std::size_t fault_index, std::size_t step_index, std::uint64_t seed,
                                  const std::optional<second_fault>& second = std::nullopt);

} // namespace carawayway::engine_test
