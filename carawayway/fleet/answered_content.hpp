// What the store holds of request content that servers have answered and that has lost servers none the less.
#pragma once

#include <cstdint>
#include <string>

namespace carawayway::fleet {

struct answered_content {
    std::string fingerprint;    // 16 hexadecimal digits
    std::string recorded_by;    // name of the gateway that wrote the record
    std::uint64_t variants = 0; // set of the variants, or requests of a variant, that servers have answered

    bool operator==(const answered_content&) const = default;
};

} // namespace carawayway::fleet
