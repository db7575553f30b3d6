// Reads settings files of the subcommands that run a process.
#pragma once

#include <optional>
#include <string>

namespace carawayway::cli {

// Returns the contents, or std::nullopt when the file cannot be read.
std::optional<std::string> read_file(const std::string& path);

} // namespace carawayway::cli
