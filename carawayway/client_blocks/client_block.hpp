// One client block: the callers of an address prefix and their home region.
#pragma once

#include "carawayway/client_blocks/address_prefix.hpp"

#include <cstdint>

namespace carawayway::client_blocks {

using region_index = std::uint32_t;

struct client_block {
    address_prefix prefix;
    region_index region; // below no_region

    bool operator==(const client_block&) const = default;
};

// Marks addresses that no block contains.
inline constexpr region_index no_region = ~region_index{0};

} // namespace carawayway::client_blocks
