// Which build of the program runs.
#pragma once

#include <string_view>

namespace carawayway::base {

// The commit of the sources, as known when the build was configured; "unknown" outside a repository.
std::string_view build_name();

} // namespace carawayway::base
