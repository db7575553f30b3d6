// The fault matrix: the faults, the steps at which they begin, and a short run for each combination (a cell).
#pragma once

#include "Tests/engine/callers.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace carawayway::engine_test {

enum class service_during : std::uint8_t {
    all,  // every request is executed despite the fault
    some, // refused and unknown outcomes are allowed while the fault lasts
};

// The entry instance and server that the run has reached when the fault begins.
struct fault_target {
    std::string entry;
    std::string server;
};

// Whether the fault is local or cuts links between failure domains.
enum class fault_scope : std::uint8_t { local, cut };

struct fault {
    std::string_view name;
    void (*begin)(engine_world& world, callers& callers, const fault_target& target);
    void (*end)(engine_world& world, const fault_target& target);
    base::duration length;
    // Time after the end of the fault from which on every request is executed.
    base::duration recovery;
    service_during during = service_during::some;
    fault_scope scope = fault_scope::local;
};

struct step_plan {
    step value;
    std::string_view name;
    // Makes the run reach the step, in addition to the steady load.
    void (*prepare)(engine_world& world, callers& callers);
    // Undoes the effects of `prepare` when the fault ends.
    void (*restore)(engine_world& world);
    service_during during = service_during::all;
    base::duration recovery{};
};

const std::vector<fault>& faults();
const std::vector<step_plan>& steps();

struct second_fault {
    std::size_t fault = 0;
    base::duration after{}; // since the begin of the first fault
};

// Runs the fault at the step, and the second fault if given. Returns the problems found, one line each.
std::vector<std::string> run_cell(std::size_t fault_index, std::size_t step_index, std::uint64_t seed,
                                  const std::optional<second_fault>& second = std::nullopt);

} // namespace carawayway::engine_test
