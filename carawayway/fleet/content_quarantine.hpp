// What the store holds of request content that is kept from all servers.
#pragma once

#include <cstdint>
#include <string>

namespace carawayway::fleet {

struct content_quarantine {
    std::string fingerprint;  // 16 hexadecimal digits
    std::string recorded_by;  // name of the gateway that wrote the record
    std::uint32_t losses = 0; // servers lost in sequence; 0 if the record does not tell
    // A server has answered the content since, which may run again. Its next loss quarantines it.
    bool is_released = false;

    bool operator==(const content_quarantine&) const = default;
};

} // namespace carawayway::fleet
