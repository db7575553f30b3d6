// Messages by which a gateway gets store records from another gateway, and their encoding.
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
    store_revision revision;           // up to which the sender knows all changes of the store
    std::chrono::milliseconds wait{0}; // longest time that the reply may wait for a change; 0: reply at once

    bool operator==(const replication_request&) const = default;
};

struct replication_reply {
    store_revision revision; // up to which the sender knows all changes of the store
    bool complete = false;   // the records are a whole listing, not only the changes
    std::vector<store_record> records;
    bool watches_store = false; // the sender watches the store itself and can reach it
    // Since the sender's last failed call to the store; 0 while calls fail.
    std::chrono::milliseconds time_since_failure{0};

    bool operator==(const replication_reply&) const = default;
};

// Each returns the payload of one frame.
std::string encode(const replication_request& request);
std::string encode(const replication_reply& reply);

// Empty when the payload is not a valid message of that type.
std::optional<replication_request> decode_request(std::span<const std::byte> payload);
std::optional<replication_reply> decode_reply(std::span<const std::byte> payload);

} // namespace carawayway::fleet
