// Encoding of the messages between gateways.
#pragma once

#include "carawayway/fleet/fact_log.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace carawayway::fleet {

struct fact_request {
    std::int64_t revision = 0;         // up to which the sender knows all changes
    std::chrono::milliseconds wait{0}; // longest time that the answer may wait for news

    bool operator==(const fact_request&) const = default;
};

struct fact_reply {
    std::int64_t revision = 0;
    bool complete = false; // the facts are a whole listing, not only the changes
    std::vector<fact> facts;
    bool watches_store = false; // the sender follows the store itself, and is in contact with it
    std::chrono::milliseconds undisturbed{
        0}; // since the sender's last trouble with the store; 0: it has trouble

    bool operator==(const fact_reply&) const = default;
};

// Each result is the payload of one frame.
std::string encode(const fact_request& request);
std::string encode(const fact_reply& reply);

// Nothing when the payload is not such a message.
std::optional<fact_request> decode_request(std::span<const std::byte> payload);
std::optional<fact_reply> decode_reply(std::span<const std::byte> payload);

} // namespace carawayway::fleet
