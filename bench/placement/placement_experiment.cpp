// Compares placement rules under several load patterns. Prints one row for each pattern and rule.
#include "bench/placement/fleet_model.hpp"

#include <fmt/format.h>
#include <gflags/gflags.h>

DEFINE_uint32(seed, 1, "seed of the arrivals and run times");
DEFINE_uint32(seconds, 30, "length of each run in virtual seconds");

namespace {

using namespace placement_model;

struct load_pattern {
    std::string name;
    model_options options;
};

std::vector<load_pattern> load_patterns() {
    const auto with = [](std::vector<region_options> regions) {
        model_options made;
        made.regions = std::move(regions);
        return made;
    };
    return {
        {"even", with({{"a", 8, 110}, {"b", 6, 110}, {"c", 6, 110}})},
        {"small-region", with({{"a", 8, 110}, {"b", 2, 110}, {"c", 6, 110}})},
        {"waves", with({{"a", 8, 150, 0.55, 0.0}, {"b", 2, 150, 0.55, 0.33}, {"c", 6, 150, 0.55, 0.66}})},
        {"overload", with({{"a", 8, 330}, {"b", 2, 330}, {"c", 6, 330}})},
    };
}

constexpr std::string_view name_of(placement_rule rule) {
    switch (rule) {
    case placement_rule::affinity_and_load:
        return "affinity-and-load";
    case placement_rule::affinity_only:
        return "affinity-only";
    case placement_rule::two_random:
        return "two-random";
    case placement_rule::least_loaded_home:
        return "least-loaded-home";
    }
    return {};
}

} // namespace

int main(int argc, char** argv) {
    gflags::SetUsageMessage("Compares placement rules under several load patterns.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    fmt::print("{:<14}{:<20}{:>9}{:>9}{:>9}{:>9}{:>9}{:>11}{:>12}\n", "load", "rule", "in time", "worst",
               "late", "refused", "remote", "misses", "max shift");
    for (auto& [name, options] : load_patterns()) {
        for (const auto rule : {placement_rule::affinity_and_load, placement_rule::affinity_only,
                                placement_rule::two_random, placement_rule::least_loaded_home}) {
            options.rule = rule;
            options.seed = FLAGS_seed;
            options.length = std::chrono::seconds{FLAGS_seconds};
            const auto result = fleet_model(options).run();
            const auto total = result.total();
            const auto share = [&total](std::uint64_t count) {
                return static_cast<double>(count) / static_cast<double>(total.requests);
            };
            double worst = 1.0;
            for (const auto& [region, counts] : result.regions) {
                worst = std::min(worst, counts.in_time_share());
            }
            fmt::print("{:<14}{:<20}{:>9.3f}{:>9.3f}{:>9.3f}{:>9.3f}{:>9.3f}{:>11}{:>12.3f}\n", name,
                       name_of(rule), share(total.in_time), worst, share(total.late), share(total.refused),
                       share(total.remote), result.cache_misses, result.largest_shift);
        }
    }
    return 0;
}
