// Command line handling shared by the subcommands. Flags are defined with gflags.
#pragma once

#include "carawayway/cli/exit_code.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carawayway::cli {

struct subcommand {
    std::string_view name;
    std::string_view summary;
    std::string_view usage;              // "[flags] FILE"
    std::vector<std::string_view> flags; // names of the accepted flags
    int (*run)(const std::vector<std::string>& positional);
};

// Parses `argc`/`argv`, prints help or version when asked to, and runs the subcommand. Returns the exit code.
int dispatch(int argc, char** argv, const std::vector<subcommand>& subcommands);

int run_entry(const std::vector<std::string>& positional);
int run_check_configuration(const std::vector<std::string>& positional);
int run_gateway(const std::vector<std::string>& positional);
int run_lookup(const std::vector<std::string>& positional);
int run_ctl(const std::vector<std::string>& positional);
int run_request(const std::vector<std::string>& positional);

} // namespace carawayway::cli
