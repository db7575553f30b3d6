// Maps the address of a caller to its home region by longest-prefix match.
#pragma once

#include "carawayway/client_blocks/client_block.hpp"
#include "carawayway/client_blocks/prefix_ranges.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace carawayway::client_blocks {

// Immutable: a change makes a new table, so that look-ups need no lock.
class client_block_table {
public:
    client_block_table() = default;

    // Of several blocks with the same prefix the last one counts. Sorts: O(n log n).
    explicit client_block_table(std::vector<client_block> blocks);

    // The table without the prefixes in `removed` and then with the blocks in `added`, which replace blocks
    // with the same prefix. A removed prefix that has no block is ignored. Costs one pass over the table and
    // sorting the changes.
    client_block_table with_changes(std::vector<client_block> added,
                                    std::vector<address_prefix> removed) const;

    // The region of the longest prefix that contains the address. O(log n), allocates nothing.
    std::optional<region_index> find(const client_address& address) const;

    // In the order of address_prefix.
    std::vector<client_block> blocks() const;

    std::size_t block_count() const { return m_block_count; }

    // Heap memory and the object itself.
    std::size_t memory_bytes() const;

private:
    using ipv4_ranges = prefix_ranges<std::uint32_t>;
    using ipv6_ranges = prefix_ranges<std::uint64_t>;

    ipv4_ranges m_ipv4;
    ipv6_ranges m_ipv6;
    std::size_t m_block_count = 0;
};

} // namespace carawayway::client_blocks
