// Why a request is sent to another server.
#pragma once

#include <cstdint>
#include <string_view>

namespace carawayway::gateway {

enum class retry_cause : std::uint8_t {
    refused, // the server said that it did not execute the request
    failed,  // the server responded with a failure or an altered response
    lost,    // the connection ended without a whole response
    overdue, // the response is late, and the request is hedged
};

constexpr std::string_view to_text(retry_cause cause) {
    switch (cause) {
    case retry_cause::refused:
        return "refused";
    case retry_cause::failed:
        return "failed";
    case retry_cause::lost:
        return "lost";
    case retry_cause::overdue:
        break;
    }
    return "overdue";
}

} // namespace carawayway::gateway
