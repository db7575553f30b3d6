// Encoding of the messages between gateways.
#pragma once

#include "carawayway/fleet/store_replica.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace carawayway::fleet {

struct replication_request {
    std::int64_t revision = 0;         // up to which the sender knows all changes
    std::chrono::milliseconds wait{0}; // longest time that the answer may wait for news

    bool operator==(const replication_request&) const = default;
};

struct replication_reply {
    std::int64_t revision = 0;
    bool complete = false; // the facts are a whole listing, not only the changes
    std::vector<store_record> records;
    bool watches_store = false; // the sender follows the store itself, and is in contact with it
    std::chrono::milliseconds time_since_failure{
        0}; // since the sender's last trouble with the store; 0: it has trouble

    bool operator==(const replication_reply&) const = default;
};

// Each result is the payload of one frame.
std::string encode(const replication_request& request);
std::string encode(const replication_reply& reply);

// Nothing when the payload is not such a message.
std::optional<replication_request> decode_request(std::span<const std::byte> payload);
std::optional<replication_reply> decode_reply(std::span<const std::byte> payload);

} // namespace carawayway::fleet
