// The blocks of one address family as disjoint address ranges, sorted for binary search.
#pragma once

#include "carawayway/client_blocks/client_block.hpp"

#include <algorithm>
#include <array>
#include <cassert>
#include <cstdint>
#include <limits>
#include <vector>

namespace carawayway::client_blocks {

// `Key` is an unsigned integer as wide as the keys of the family. A range ends where the next one starts. It
// either starts a block, or continues the enclosing block (or a gap between blocks) after the end of a nested
// one. The original blocks can be reconstructed from the ranges, so no second list is kept.
template <class Key>
class prefix_ranges {
public:
    struct block {
        Key start;
        std::uint8_t length;
        region_index region;
    };

    // `for_each_block(visit)` calls visit(block) in strictly ascending (start, length) order. It is called
    // twice: the first pass counts the ranges, so that only the memory that they need is reserved.
    template <class ForEachBlock>
    static prefix_ranges from_blocks(const ForEachBlock& for_each_block) {
        prefix_ranges ranges;
        std::size_t count = 0;
        flatten(for_each_block, [&count](Key, std::uint8_t, region_index) { ++count; });
        ranges.m_starts.reserve(count);
        ranges.m_lengths.reserve(count);
        ranges.m_regions.reserve(count);
        flatten(for_each_block, [&ranges](Key start, std::uint8_t length, region_index region) {
            ranges.m_starts.push_back(start);
            ranges.m_lengths.push_back(length);
            ranges.m_regions.push_back(region);
        });
        ranges.build_index();
        return ranges;
    }

    // Returns the region of the block with the longest prefix that contains `key`, or no_region.
    region_index find(Key key) const {
        const auto next_group = std::upper_bound(m_index.begin(), m_index.end(), key);
        if (next_group == m_index.begin()) {
            return no_region;
        }
        const auto group = static_cast<std::size_t>(next_group - m_index.begin()) - 1;
        const auto first = m_starts.begin() + static_cast<std::ptrdiff_t>(group * group_size);
        const auto last = m_starts.end() - first > static_cast<std::ptrdiff_t>(group_size)
                              ? first + static_cast<std::ptrdiff_t>(group_size)
                              : m_starts.end();
        // Of several ranges with the same start, the last one has the longest prefix.
        const auto next_range = std::upper_bound(first, last, key);
        return m_regions[static_cast<std::size_t>(next_range - m_starts.begin()) - 1];
    }

    // Calls visit(block) for each block that the ranges were built from, in order.
    template <class Visit>
    void for_each_block(Visit&& visit) const {
        for (std::size_t index = 0; index < m_starts.size(); ++index) {
            if (m_lengths[index] != continuation_marker) {
                visit(block{m_starts[index], m_lengths[index], m_regions[index]});
            }
        }
    }

    std::size_t memory_bytes() const {
        return m_starts.capacity() * sizeof(Key) + m_lengths.capacity() * sizeof(std::uint8_t) +
               m_regions.capacity() * sizeof(region_index) + m_index.capacity() * sizeof(Key);
    }

private:
    static constexpr std::uint8_t continuation_marker = 0xFF; // length of a range that starts no block
    static constexpr int bits = std::numeric_limits<Key>::digits;
    static constexpr std::size_t group_size = 64; // ranges per index entry

    struct open_block {
        Key last = 0;
        region_index region = no_region;
    };

    // The blocks that contain the current position, outermost first. Nested prefixes have distinct lengths,
    // so that there is room for all of them.
    struct open_blocks {
        std::array<open_block, bits + 1> items{};
        std::size_t count = 0;

        bool empty() const { return count == 0; }
        const open_block& innermost() const { return items[count - 1]; }
        region_index region() const { return empty() ? no_region : innermost().region; }

        void push(open_block item) {
            assert(count < items.size());
            items[count++] = item;
        }
    };

    static Key last_key(const block& item) {
        const int host_bits = bits - item.length;
        const Key mask = host_bits == bits ? ~Key{0} : static_cast<Key>((Key{1} << host_bits) - 1);
        return item.start | mask;
    }

    // Closes the innermost block and the blocks that end at the same key. Returns the key that follows, or 0
    // when they end at the last key.
    static Key close_innermost(open_blocks& open) {
        const Key last = open.innermost().last;
        while (!open.empty() && open.innermost().last == last) {
            --open.count;
        }
        return last + 1;
    }

    template <class ForEachBlock, class Emit>
    static void flatten(const ForEachBlock& for_each_block, const Emit& emit) {
        open_blocks open;
        for_each_block([&open, &emit](const block& item) {
            while (!open.empty() && open.innermost().last < item.start) {
                const Key next_key = close_innermost(open);
                if (next_key != item.start) {
                    emit(next_key, continuation_marker, open.region());
                }
            }
            emit(item.start, item.length, item.region);
            open.push({last_key(item), item.region});
        });
        while (!open.empty()) {
            const Key next_key = close_innermost(open);
            if (next_key != 0) {
                emit(next_key, continuation_marker, open.region());
            }
        }
    }

    void build_index() {
        m_index.reserve((m_starts.size() + group_size - 1) / group_size);
        for (std::size_t first = 0; first < m_starts.size(); first += group_size) {
            m_index.push_back(m_starts[first]);
        }
    }

    // The first three vectors have one element per range. m_starts is in ascending order; starts are equal
    // only where nested blocks start at the same key, the longest prefix last.
    std::vector<Key> m_starts;
    std::vector<std::uint8_t> m_lengths;
    std::vector<region_index> m_regions;
    std::vector<Key> m_index; // every group_size-th start; small enough for the CPU cache
};

} // namespace carawayway::client_blocks
