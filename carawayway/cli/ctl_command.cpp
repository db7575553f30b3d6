// `carawayway ctl ACTION`: operator calls from the command line.
#include "carawayway/cli/arguments.hpp"
#include "carawayway/cli/ctl_client.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstdio>

namespace carawayway::cli {

namespace {

struct action {
    std::string_view name;
    std::string_view usage;
    std::size_t argument_count; // required after the name
    int (*run)(const ctl_client& client, const std::vector<std::string>& arguments);
};

constexpr std::array<action, 11> actions{{
    {"apply", "apply FILE [--expected_revision N] [--dry_run] [--wait]", 1, ctl_apply},
    {"get", "get [--revision N]", 0, ctl_get},
    {"revisions", "revisions", 0, ctl_revisions},
    {"rollback", "rollback REVISION [--dry_run] [--wait]", 1, ctl_rollback},
    {"status", "status", 0, ctl_status},
    {"drain", "drain server|entry|domain NAME [--comment TEXT] [--dry_run] [--wait]", 2, ctl_drain},
    {"undrain", "undrain server|entry|domain NAME [--comment TEXT] [--dry_run] [--wait]", 2, ctl_undrain},
    {"shift", "shift SERVICE [--share X] [--window_ms N] [--requests_per_second X|none]", 1, ctl_shift},
    {"shifts", "shifts", 0, ctl_shifts},
    {"explain", "explain --service NAME --client IP", 0, ctl_explain},
    {"metrics", "metrics", 0, ctl_metrics},
}};

int print_usage() {
    fmt::print(stderr, "Usage of carawayway ctl:\n");
    for (const auto& item : actions) {
        fmt::print(stderr, "  carawayway ctl {}\n", item.usage);
    }
    fmt::print(stderr, "All take --operator IP:PORT, --token_file FILE, --json and --timeout_ms N.\n");
    return to_int(exit_code::bad_input);
}

} // namespace

int run_ctl(const std::vector<std::string>& positional) {
    if (positional.empty()) {
        return print_usage();
    }
    const auto* const found = std::find_if(actions.begin(), actions.end(), [&positional](const action& item) {
        return item.name == positional.front();
    });
    if (found == actions.end()) {
        fmt::print(stderr, "carawayway ctl: unknown action \"{}\"\n", positional.front());
        return print_usage();
    }
    if (positional.size() != found->argument_count + 1) {
        fmt::print(stderr, "Usage: carawayway ctl {}\n", found->usage);
        return to_int(exit_code::bad_input);
    }
    const auto client = ctl_client::from_flags();
    if (!client) {
        return to_int(exit_code::bad_input);
    }
    return found->run(*client, {positional.begin() + 1, positional.end()});
}

} // namespace carawayway::cli
