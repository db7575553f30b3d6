// The command `carawayway check FILE`, which validates a settings or policy file.
#pragma once

#include "carawayway/config/key_table.hpp"

#include <cstdio>
#include <optional>
#include <string>
#include <string_view>

namespace carawayway::config {

// The kind with the most known section headers in the text; empty when there are none.
std::optional<document_kind> detect_document_kind(std::string_view text);

// Validates the file and prints one line for each problem, or one line if the file is valid. Returns the exit
// status: 0 if the file is valid, otherwise 2.
int run_check(const std::string& file, std::FILE* out);

} // namespace carawayway::config
