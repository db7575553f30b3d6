// Maps the address of a caller to its home region by longest-prefix match.
#pragma once

#include "carawayway/client_blocks/client_block.hpp"
#include "carawayway/client_blocks/prefix_ranges.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace carawayway::client_blocks {

// Immutable: a change creates a new table, so that look-ups need no lock.
class client_block_table {
public:
    client_block_table() = default;

    // Of several blocks with the same prefix, the last one is used. O(n log n).
    explicit client_block_table(std::vector<client_block> blocks);

    // Returns a copy of the table with the prefixes in `removed` deleted first and the blocks in `added`
    // inserted after that; these replace blocks with the same prefix. A removed prefix without a block is
    // ignored. Takes one pass over the table, plus the time to sort the changes.
    client_block_table with_changes(std::vector<client_block> added,
                                    std::vector<address_prefix> removed) const;

    // Returns the region of the longest prefix that contains the address. O(log n), without allocation.
    std::optional<region_index> find(const client_address& address) const;

    // Returns all blocks in the order of their prefixes.
    std::vector<client_block> blocks() const;

    std::size_t block_count() const { return m_block_count; }

    // Size of the object and of its heap memory.
    std::size_t memory_bytes() const;

private:
    using ipv4_ranges = prefix_ranges<std::uint32_t>;
    using ipv6_ranges = prefix_ranges<std::uint64_t>;

    ipv4_ranges m_ipv4;
    ipv6_ranges m_ipv6;
    std::size_t m_block_count = 0;
};

} // namespace carawayway::client_blocks
