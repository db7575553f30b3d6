// One client block: the callers of an address prefix and their home site.
#pragma once

#include "carawayway/client_blocks/address_prefix.hpp"

#include <cstdint>

namespace carawayway::client_blocks {

using site_index = std::uint32_t;

struct client_block {
    address_prefix prefix;
    site_index site; // below no_site

    bool operator==(const client_block&) const = default;
};

// Marks addresses that no block contains.
inline constexpr site_index no_site = ~site_index{0};

} // namespace carawayway::client_blocks
