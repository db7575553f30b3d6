// Seeded runs of the real program under faults from outside.
//
// By hand: CARAWAYWAY_SOAK_SEEDS=FIRST:COUNT plays other seeds, CARAWAYWAY_SOAK_SECONDS sets the length of
// the part with faults, and CARAWAYWAY_SOAK_TIMES=1 also checks how long answers take;
// CARAWAYWAY_SOAK_KEEP=FOLDER keeps settings and logs of runs with findings.
#include "Tests/soak/soak_run.hpp"

#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <iostream>

namespace carawayway::soak {
namespace {

std::string setting(const char* name, const char* missing) {
    const char* const value = std::getenv(name);
    return value == nullptr ? missing : value;
}

void play(std::uint32_t seed) {
    soak_options options;
    options.seed = seed;
    options.length = std::chrono::seconds{std::stoi(setting("CARAWAYWAY_SOAK_SECONDS", "4"))};
    options.times = setting("CARAWAYWAY_SOAK_TIMES", "0") == "1" ? soak_options::timing::checked
                                                                 : soak_options::timing::ignored;
    soak_run run(options);
    const auto findings = run.play();
    std::cout << "soak seed " << seed << ": " << run.requests() << " requests, " << findings.size()
              << " findings\n";
    for (const auto& finding : findings) {
        ADD_FAILURE() << "seed " << seed << ": " << finding;
    }
    if (findings.empty()) {
        return;
    }
    const auto kept = setting("CARAWAYWAY_SOAK_KEEP", "");
    if (!kept.empty()) {
        std::filesystem::copy(run.folder(), kept + "/seed-" + std::to_string(seed),
                              std::filesystem::copy_options::recursive);
    }
}

// Guards every promise that callers and backend servers can see: at most one run where requests must not be
// repeated, true refusals, answers of the own request, no request cut by planned work, the newest
// configuration and no work for leaving servers after the faults.
TEST(soak, promises_hold_under_faults) {
    const auto seeds = setting("CARAWAYWAY_SOAK_SEEDS", "1:2");
    const auto colon = seeds.find(':');
    const auto first = static_cast<std::uint32_t>(std::stoul(seeds.substr(0, colon)));
    const auto count = colon == std::string::npos ? 1 : std::stoul(seeds.substr(colon + 1));
    for (std::uint32_t seed = first; seed < first + count; ++seed) {
        play(seed);
    }
}

} // namespace
} // namespace carawayway::soak
