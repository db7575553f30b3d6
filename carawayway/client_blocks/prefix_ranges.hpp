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

// Key is the unsigned integer of the family's key width. A range reaches up to the start of the next one. It
// either starts a block, or it resumes the enclosing block (or no block) behind the end of a nested one. The
// original blocks can be read back from the ranges, so no second list is kept.
template <class Key>
class prefix_ranges {
public:
    struct block {
        Key start;
        std::uint8_t length;
        region_index region;
    };

    // `for_each_block(visit)` calls visit(block) in strictly ascending (start, length) order. It is called
    // twice: the first pass counts, so that no memory is reserved that the ranges don't need.
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

    // The region of the longest block that contains `key`, or no_region.
    region_index find(Key key) const {
        const auto sample = std::upper_bound(m_index.begin(), m_index.end(), key);
        if (sample == m_index.begin()) {
            return no_region;
        }
        const auto group = static_cast<std::size_t>(sample - m_index.begin()) - 1;
        const auto first = m_starts.begin() + static_cast<std::ptrdiff_t>(group * group_size);
        const auto last = m_starts.end() - first > static_cast<std::ptrdiff_t>(group_size)
                              ? first + static_cast<std::ptrdiff_t>(group_size)
                              : m_starts.end();
        // The last of several ranges with the same start is the one of the longest prefix.
        const auto behind = std::upper_bound(first, last, key);
        return m_regions[static_cast<std::size_t>(behind - m_starts.begin()) - 1];
    }

    // Calls visit(block) for each block that the ranges were made from, in order.
    template <class Visit>
    void for_each_block(Visit&& visit) const {
        for (std::size_t index = 0; index < m_starts.size(); ++index) {
            if (m_lengths[index] != resumed) {
                visit(block{m_starts[index], m_lengths[index], m_regions[index]});
            }
        }
    }

    std::size_t memory_bytes() const {
        return m_starts.capacity() * sizeof(Key) + m_lengths.capacity() * sizeof(std::uint8_t) +
               m_regions.capacity() * sizeof(region_index) + m_index.capacity() * sizeof(Key);
    }

private:
    static constexpr std::uint8_t resumed = 0xFF; // length of a range that does not start a block
    static constexpr int bits = std::numeric_limits<Key>::digits;
    static constexpr std::size_t group_size = 64; // ranges per index entry

    struct open_block {
        Key last = 0;
        region_index region = no_region;
    };

    // The blocks that contain the current position, outermost first; nested prefixes have distinct lengths.
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

    static Key last_of(const block& item) {
        const int host_bits = bits - item.length;
        const Key mask = host_bits == bits ? ~Key{0} : static_cast<Key>((Key{1} << host_bits) - 1);
        return item.start | mask;
    }

    // Ends the innermost block and those that end with it. Returns the first key behind them; 0 behind the
    // last key.
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
                const Key resume = close_innermost(open);
                if (resume != item.start) {
                    emit(resume, resumed, open.region());
                }
            }
            emit(item.start, item.length, item.region);
            open.push({last_of(item), item.region});
        });
        while (!open.empty()) {
            const Key resume = close_innermost(open);
            if (resume != 0) {
                emit(resume, resumed, open.region());
            }
        }
    }

    void build_index() {
        m_index.reserve((m_starts.size() + group_size - 1) / group_size);
        for (std::size_t first = 0; first < m_starts.size(); first += group_size) {
            m_index.push_back(m_starts[first]);
        }
    }

    // Equal sizes. m_starts ascends; equal starts only where nested blocks start together, longest last.
    std::vector<Key> m_starts;
    std::vector<std::uint8_t> m_lengths;
    std::vector<region_index> m_regions;
    std::vector<Key> m_index; // every group_size-th start: small enough for the cache
};

} // namespace carawayway::client_blocks
