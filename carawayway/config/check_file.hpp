// The command `carawayway check FILE`.
#pragma once

#include "carawayway/config/key_table.hpp"

#include <cstdio>
#include <optional>
#include <string>
#include <string_view>

namespace carawayway::config {

// Settings or policy, by the known section headers in the text; empty when it has none.
std::optional<document_kind> detect_document_kind(std::string_view text);

// Checks the settings or policy file and prints one line for each problem, or one line that says that the
// file is valid. Returns the exit status: 0 when the file is valid, else 2.
int run_check(const std::string& file, std::FILE* out);

} // namespace carawayway::config
