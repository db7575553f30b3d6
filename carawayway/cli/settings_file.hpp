// Reading of settings files for the subcommands that run a process.
#pragma once

#include <optional>
#include <string>

namespace carawayway::cli {

// The whole text; nothing when the file cannot be read.
std::optional<std::string> read_file(const std::string& path);

} // namespace carawayway::cli
