// The program carawayway and its subcommands.
#include "carawayway/base/build.hpp"
#include "carawayway/cli/arguments.hpp"
#include "carawayway/config/check_file.hpp"
#include "carawayway/config/key_table.hpp"
#include "carawayway/fleet/agreement_level.hpp"

#include <fmt/format.h>
#include <gflags/gflags.h>

DEFINE_bool(key_reference, false, "print the reference of all sections and keys as Markdown instead");

namespace {

int run_check(const std::vector<std::string>& positional) {
    if (FLAGS_key_reference && positional.empty()) {
        fmt::print("{}", carawayway::config::key_reference_markdown());
        return carawayway::cli::to_int(carawayway::cli::exit_code::done);
    }
    if (positional.size() != 1) {
        fmt::print(stderr, "carawayway check: exactly one FILE is required\n");
        return carawayway::cli::to_int(carawayway::cli::exit_code::bad_input);
    }
    return carawayway::config::run_check(positional.front(), stdout);
}

int run_version(const std::vector<std::string>& positional) {
    if (!positional.empty()) {
        fmt::print(stderr, "carawayway version: no argument is expected\n");
        return carawayway::cli::to_int(carawayway::cli::exit_code::bad_input);
    }
    fmt::print("carawayway {}, agreement level {}\n", carawayway::base::build_name(),
               carawayway::fleet::agreement_level);
    return carawayway::cli::to_int(carawayway::cli::exit_code::done);
}

} // namespace

int main(int argc, char** argv) {
    using namespace carawayway::cli;
    const std::vector<subcommand> subcommands{
        {"entry", "Runs one entry instance until SIGTERM.", "--settings FILE", {"settings"}, run_entry},
        {"gateway",
         "Runs one gateway on a platform that lists servers and routes, until SIGTERM.",
         "--settings FILE",
         {"settings"},
         run_gateway},
        {"check", "Checks a settings or policy file.", "FILE", {"key_reference"}, run_check},
        {"check-configuration",
         "Checks a configuration of the platform and compares it with the one in force. Exit codes: 0 clean, "
         "1 "
         "warnings, 2 errors.",
         "NEW [flags]",
         {"in_force", "store", "settings", "json"},
         run_check_configuration},
        {"version", "Prints the build and the level of its agreements.", "", {}, run_version},
        {"lookup",
         "Asks an entry instance which entry instances a caller should use.",
         "--service NAME [flags]",
         {"entry", "service", "source_address", "timeout_ms", "json"},
         run_lookup},
        {"request",
         "Sends one request as a caller and prints what is known about its execution.",
         "--service NAME [flags]",
         {"entry", "service", "method", "path", "body", "request_id", "customer", "source_address",
          "timeout_ms"},
         run_request},
        {"ctl",
         "Operates a deployment through any entry instance; without an action it lists the actions. Calls "
         "time out after 10 s unless --timeout_ms is given.",
         "ACTION [arguments] [flags]",
         {"operator", "token_file", "json", "timeout_ms", "expected_revision", "dry_run", "wait", "wait_ms",
          "revision", "comment", "share", "window_ms", "requests_per_second", "service", "client"},
         run_ctl},
    };
    return dispatch(argc, argv, subcommands);
}
