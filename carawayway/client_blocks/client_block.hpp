// A client block assigns the callers in an address prefix to their home region.
#pragma once

#include "carawayway/client_blocks/address_prefix.hpp"

#include <cstdint>

namespace carawayway::client_blocks {

using region_index = std::uint32_t;

struct client_block {
    address_prefix prefix;
    region_index region; // never no_region

    bool operator==(const client_block&) const = default;
};

// Result of a look-up when no block contains the address.
inline constexpr region_index no_region = ~region_index{0};

} // namespace carawayway::client_blocks
