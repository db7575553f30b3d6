// Names the build.
#include "carawayway/base/build.hpp"

namespace carawayway::base {

std::string_view build_name() {
    return CARAWAYWAY_BUILD_NAME;
}

} // namespace carawayway::base
