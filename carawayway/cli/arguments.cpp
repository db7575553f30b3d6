// Runs subcommands and handles help, version and unknown flags. The help of gflags lists the flags of every
// linked file and exits with 1, so each subcommand prints its own help.
#include "carawayway/cli/arguments.hpp"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <cstdio>

DECLARE_bool(help);
DECLARE_bool(version);

namespace carawayway::cli {

namespace {

constexpr std::string_view version = "0.1.0";

void print_overview(const std::vector<subcommand>& subcommands, std::FILE* out) {
    fmt::print(
        out, "carawayway {}: global traffic steering\n\nUsage: carawayway SUBCOMMAND [flags] [arguments]\n\n",
        version);
    for (const auto& item : subcommands) {
        fmt::print(out, "  {:<19} {}\n", item.name, item.summary);
    }
    fmt::print(out, "\n\"carawayway SUBCOMMAND --help\" lists its flags.\n"
                    "Exit codes: 0 done, 1 failed, 2 bad input, 3 conflict or not executed, 4 not reachable, "
                    "5 outcome unknown.\n");
}

void print_help(const subcommand& item) {
    fmt::print("Usage: carawayway {} {}\n\n{}\n", item.name, item.usage, item.summary);
    if (!item.flags.empty()) {
        fmt::print("\nFlags:\n");
    }
    for (const auto flag : item.flags) {
        const auto info = gflags::GetCommandLineFlagInfoOrDie(std::string(flag).c_str());
        fmt::print("  --{:<18} {} (default: \"{}\")\n", flag, info.description, info.default_value);
    }
}

// Returns the first argument that looks like a flag but is not a flag of the subcommand.
std::optional<std::string> unknown_flag(const std::vector<std::string>& arguments, const subcommand& item) {
    for (const auto& argument : arguments) {
        if (argument == "--") {
            return std::nullopt;
        }
        if (argument.size() < 2 || argument.front() != '-') {
            continue;
        }
        std::string name = argument.substr(argument.find_first_not_of('-'));
        name = name.substr(0, name.find('='));
        std::replace(name.begin(), name.end(), '-', '_'); // gflags accepts both
        std::string positive = name.starts_with("no") ? name.substr(2) : name;
        const auto known = [&item](const std::string& candidate) {
            return candidate == "help" || candidate == "version" ||
                   std::find(item.flags.begin(), item.flags.end(), candidate) != item.flags.end();
        };
        if (!known(name) && !known(positive)) {
            return argument;
        }
    }
    return std::nullopt;
}

} // namespace

int dispatch(int argc, char** argv, const std::vector<subcommand>& subcommands) {
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    if (arguments.empty() || arguments.front() == "--help" || arguments.front() == "help") {
        print_overview(subcommands, arguments.empty() ? stderr : stdout);
        return to_int(arguments.empty() ? exit_code::bad_input : exit_code::done);
    }
    if (arguments.front() == "--version") {
        fmt::print("carawayway {}\n", version);
        return to_int(exit_code::done);
    }
    const auto found = std::find_if(subcommands.begin(), subcommands.end(), [&arguments](const auto& item) {
        return item.name == arguments.front();
    });
    if (found == subcommands.end()) {
        fmt::print(stderr, "carawayway: unknown subcommand \"{}\"\n\n", arguments.front());
        print_overview(subcommands, stderr);
        return to_int(exit_code::bad_input);
    }
    const std::vector<std::string> rest(arguments.begin() + 1, arguments.end());
    if (const auto flag = unknown_flag(rest, *found)) {
        fmt::print(stderr, "carawayway {}: unknown flag {}; see --help\n", found->name, *flag);
        return to_int(exit_code::bad_input);
    }
    int remaining_count = argc - 1;
    char** remaining = argv + 1;
    gflags::ParseCommandLineNonHelpFlags(&remaining_count, &remaining, true);
    if (FLAGS_help) {
        print_help(*found);
        return to_int(exit_code::done);
    }
    if (FLAGS_version) {
        fmt::print("carawayway {}\n", version);
        return to_int(exit_code::done);
    }
    return found->run(std::vector<std::string>(remaining + 1, remaining + remaining_count));
}

} // namespace carawayway::cli
