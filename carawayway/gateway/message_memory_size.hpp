// How much memory a gateway has for messages, and for one of them.
#pragma once

#include "carawayway/gateway/message_memory.hpp"

namespace carawayway::gateway {

// Part of the machine's memory for requests and responses. The rest is for the program, what it knows of
// the deployment, and buffers of sockets.
inline constexpr double message_memory_share = 0.4;

inline std::size_t message_memory_bytes(double machine_megabytes) {
    constexpr double bytes_per_megabyte = 1e6;
    return static_cast<std::size_t>(machine_megabytes * bytes_per_megabyte * message_memory_share);
}

// The largest request, with its head, that there is room for while nothing else is held.
inline std::size_t largest_request_bytes(std::size_t message_memory_bytes) {
    const auto total = static_cast<double>(message_memory_bytes);
    return std::min(static_cast<std::size_t>(total * message_memory::request_share),
                    static_cast<std::size_t>(total * message_memory::large_share) +
                        message_memory::small_message_bytes);
}

} // namespace carawayway::gateway
