// Builds the table from a list of blocks and merges changes into an existing table.
#include "carawayway/client_blocks/client_block_table.hpp"

#include <algorithm>
#include <cassert>
#include <span>
#include <utility>

namespace carawayway::client_blocks {

namespace {

// Sorts by prefix and keeps only the last of several blocks with the same prefix.
void sort_and_deduplicate(std::vector<client_block>& blocks) {
    const auto before = [](const client_block& left, const client_block& right) {
        return left.prefix < right.prefix;
    };
    std::stable_sort(blocks.begin(), blocks.end(), before);
    std::size_t kept = 0;
    for (const auto& block : blocks) {
        assert(block.region != no_region);
        if (kept > 0 && blocks[kept - 1].prefix == block.prefix) {
            --kept;
        }
        blocks[kept++] = block;
    }
    blocks.erase(blocks.begin() + static_cast<std::ptrdiff_t>(kept), blocks.end());
}

// Returns the part of a sorted list that belongs to one family.
template <class Item, class PrefixOf>
std::span<const Item> of_family(const std::vector<Item>& items, address_family family, PrefixOf prefix_of) {
    const auto first = std::find_if(items.begin(), items.end(),
                                    [&](const Item& item) { return prefix_of(item).family() == family; });
    const auto last = std::find_if(first, items.end(),
                                   [&](const Item& item) { return prefix_of(item).family() != family; });
    return {first, last};
}

std::span<const client_block> blocks_of_family(const std::vector<client_block>& blocks,
                                               address_family family) {
    return of_family(
        blocks, family, [](const client_block& block) -> const auto& { return block.prefix; });
}

std::span<const address_prefix> prefixes_of_family(const std::vector<address_prefix>& prefixes,
                                                   address_family family) {
    return of_family(
        prefixes, family, [](const address_prefix& prefix) -> const auto& { return prefix; });
}

template <class Ranges>
typename Ranges::block to_range_block(const client_block& block) {
    using key = decltype(std::declval<typename Ranges::block>().start);
    return {static_cast<key>(block.prefix.key()), block.prefix.length(), block.region};
}

template <class Ranges>
Ranges make_ranges(std::span<const client_block> blocks) {
    return Ranges::from_blocks([blocks](const auto& visit) {
        for (const auto& block : blocks) {
            visit(to_range_block<Ranges>(block));
        }
    });
}

using block_position = std::pair<std::uint64_t, std::uint8_t>; // start and length

block_position position_of(const address_prefix& prefix) {
    return {prefix.key(), prefix.length()};
}

// All lists are in ascending order and hold prefixes of one family.
template <class Ranges>
Ranges merge_ranges(const Ranges& old, std::span<const client_block> added,
                    std::span<const address_prefix> removed) {
    return Ranges::from_blocks([&old, added, removed](const auto& visit) {
        auto next_added = added.begin();
        auto next_removed = removed.begin();
        old.for_each_block([&](const typename Ranges::block& block) {
            const block_position position{block.start, block.length};
            while (next_added != added.end() && position_of(next_added->prefix) < position) {
                visit(to_range_block<Ranges>(*next_added++));
            }
            while (next_removed != removed.end() && position_of(*next_removed) < position) {
                ++next_removed;
            }
            const bool is_replaced = next_added != added.end() && position_of(next_added->prefix) == position;
            const bool is_removed = next_removed != removed.end() && position_of(*next_removed) == position;
            if (!is_replaced && !is_removed) {
                visit(block);
            }
        });
        for (; next_added != added.end(); ++next_added) {
            visit(to_range_block<Ranges>(*next_added));
        }
    });
}

template <class Ranges>
std::size_t count_blocks(const Ranges& ranges) {
    std::size_t count = 0;
    ranges.for_each_block([&count](const auto&) { ++count; });
    return count;
}

template <class Ranges>
void append_blocks(const Ranges& ranges, address_family family, std::vector<client_block>& blocks) {
    ranges.for_each_block([&blocks, family](const auto& block) {
        const auto prefix = address_prefix::make(family, block.start, block.length);
        assert(prefix.has_value());
        blocks.push_back({*prefix, block.region});
    });
}

} // namespace

client_block_table::client_block_table(std::vector<client_block> blocks) {
    sort_and_deduplicate(blocks);
    m_ipv4 = make_ranges<ipv4_ranges>(blocks_of_family(blocks, address_family::ipv4));
    m_ipv6 = make_ranges<ipv6_ranges>(blocks_of_family(blocks, address_family::ipv6));
    m_block_count = blocks.size();
}

client_block_table client_block_table::with_changes(std::vector<client_block> added,
                                                    std::vector<address_prefix> removed) const {
    sort_and_deduplicate(added);
    std::sort(removed.begin(), removed.end());
    client_block_table changed;
    changed.m_ipv4 = merge_ranges(m_ipv4, blocks_of_family(added, address_family::ipv4),
                                  prefixes_of_family(removed, address_family::ipv4));
    changed.m_ipv6 = merge_ranges(m_ipv6, blocks_of_family(added, address_family::ipv6),
                                  prefixes_of_family(removed, address_family::ipv6));
    changed.m_block_count = count_blocks(changed.m_ipv4) + count_blocks(changed.m_ipv6);
    return changed;
}

std::optional<region_index> client_block_table::find(const client_address& address) const {
    const region_index region = address.family() == address_family::ipv4
                                    ? m_ipv4.find(static_cast<std::uint32_t>(address.key()))
                                    : m_ipv6.find(address.key());
    return region == no_region ? std::nullopt : std::optional(region);
}

std::vector<client_block> client_block_table::blocks() const {
    std::vector<client_block> blocks;
    blocks.reserve(m_block_count);
    append_blocks(m_ipv4, address_family::ipv4, blocks);
    append_blocks(m_ipv6, address_family::ipv6, blocks);
    return blocks;
}

std::size_t client_block_table::memory_bytes() const {
    return sizeof(*this) + m_ipv4.memory_bytes() + m_ipv6.memory_bytes();
}

} // namespace carawayway::client_blocks
