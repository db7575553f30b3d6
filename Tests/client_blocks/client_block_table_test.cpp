// Guards the home region of callers: a wrong match sends a caller's requests to a far region and counts its
// traffic against the wrong shift cap.
#include "carawayway/client_blocks/client_block_table.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <map>
#include <random>

namespace carawayway::client_blocks {
namespace {

address_prefix prefix(std::string_view text) {
    return address_prefix::parse(text).value();
}

client_address address(std::string_view text) {
    return client_address::parse(text).value();
}

// Generates prefixes with few distinct bits, so that many are nested, adjacent or equal.
rc::Gen<address_prefix> generate_prefix() {
    return rc::gen::apply(
        [](bool ipv6, std::uint8_t high, std::uint8_t low, std::uint8_t raw_length) {
            const auto family = ipv6 ? address_family::ipv6 : address_family::ipv4;
            const std::uint8_t bits = key_bits(family);
            const auto length = static_cast<std::uint8_t>(raw_length % (bits + 1));
            const auto top = static_cast<std::uint64_t>((high % 2U) * 0xFFU) << (bits - 8U);
            const std::uint64_t key = top | (low % 4U);
            const std::uint64_t kept = length == 0 ? 0 : key >> (bits - length) << (bits - length);
            return address_prefix::make(family, kept, length).value();
        },
        rc::gen::arbitrary<bool>(), rc::gen::arbitrary<std::uint8_t>(), rc::gen::arbitrary<std::uint8_t>(),
        rc::gen::arbitrary<std::uint8_t>());
}

rc::Gen<std::vector<client_block>> generate_blocks() {
    return rc::gen::container<std::vector<client_block>>(rc::gen::apply(
        [](address_prefix block_prefix, std::uint8_t region) {
            return client_block{block_prefix, region};
        },
        generate_prefix(), rc::gen::arbitrary<std::uint8_t>()));
}

client_address address_at(address_family family, std::uint64_t key) {
    if (family == address_family::ipv4) {
        return client_address(static_cast<std::uint32_t>(key));
    }
    ipv6_bytes bytes{};
    for (std::size_t index = 0; index < 8; ++index) {
        bytes[index] = static_cast<std::uint8_t>(key >> (56U - 8U * index));
    }
    return client_address(bytes);
}

std::optional<region_index> naive_find(const std::map<address_prefix, region_index>& blocks,
                                       const client_address& wanted) {
    std::optional<region_index> region;
    int longest = -1;
    for (const auto& [block_prefix, block_region] : blocks) {
        if (block_prefix.contains(wanted) && block_prefix.length() > longest) {
            longest = block_prefix.length();
            region = block_region;
        }
    }
    return region;
}

// Compares the results on both sides of each block boundary, where off-by-one errors appear.
void expect_same_results(const client_block_table& table,
                         const std::map<address_prefix, region_index>& naive) {
    RC_ASSERT(table.block_count() == naive.size());
    for (const auto& [block_prefix, region] : naive) {
        const int host_bits = key_bits(block_prefix.family()) - block_prefix.length();
        const std::uint64_t first = block_prefix.key();
        const std::uint64_t end = host_bits == 64 ? 0 : first + (std::uint64_t{1} << host_bits);
        for (const std::uint64_t key : {first - 1, first, first + 1, end - 1, end, end + 1}) {
            const auto wanted = address_at(block_prefix.family(), key);
            RC_ASSERT(table.find(wanted) == naive_find(naive, wanted));
        }
    }
}

TEST(client_block_table_test, matches_a_naive_longest_prefix_search) {
    EXPECT_TRUE(rc::check([] {
        const auto blocks = *generate_blocks();
        std::map<address_prefix, region_index> naive;
        for (const auto& block : blocks) {
            naive.insert_or_assign(block.prefix, block.region);
        }
        expect_same_results(client_block_table(blocks), naive);
    }));
}

// After a nested block is removed, its addresses must match the enclosing block again.
TEST(client_block_table_test, applying_changes_equals_building_a_new_table) {
    EXPECT_TRUE(rc::check([] {
        const auto old = *generate_blocks();
        const auto added = *generate_blocks();
        auto removed = *rc::gen::container<std::vector<address_prefix>>(generate_prefix());
        for (std::size_t index = 0; index < old.size(); index += 2) {
            removed.push_back(old[index].prefix);
        }
        std::map<address_prefix, region_index> naive;
        for (const auto& block : old) {
            naive.insert_or_assign(block.prefix, block.region);
        }
        for (const auto& removed_prefix : removed) {
            naive.erase(removed_prefix);
        }
        for (const auto& block : added) {
            naive.insert_or_assign(block.prefix, block.region);
        }
        const auto changed = client_block_table(old).with_changes(added, removed);
        expect_same_results(changed, naive);
        std::vector<client_block> expected;
        expected.reserve(naive.size());
        for (const auto& [block_prefix, region] : naive) {
            expected.push_back({block_prefix, region});
        }
        RC_ASSERT(changed.blocks() == expected);
    }));
}

TEST(client_block_table_test, lookups_in_a_large_table_match_across_index_groups) {
    std::mt19937_64 random(7);
    std::vector<client_block> blocks;
    for (std::uint32_t index = 0; index < 10000; ++index) {
        blocks.push_back(
            {address_prefix::make(address_family::ipv4, std::uint64_t{index} << 12U, 24).value(), index});
    }
    const client_block_table table(blocks);
    for (int round = 0; round < 10000; ++round) {
        const auto index = static_cast<std::uint32_t>(random() % blocks.size());
        EXPECT_EQ(table.find(client_address((index << 12U) | 0xFFU)), index);
        EXPECT_EQ(table.find(client_address((index << 12U) | 0x100U)), std::nullopt);
    }
}

// Blocks that are not adjacent need the most memory: each needs a second range for the gap after it.
TEST(client_block_table_test, memory_stays_within_32_bytes_per_block_without_adjacent_blocks) {
    for (const auto family : {address_family::ipv4, address_family::ipv6}) {
        const std::uint8_t bits = key_bits(family);
        std::vector<client_block> blocks;
        for (std::uint64_t index = 0; index < 100000; ++index) {
            blocks.push_back({address_prefix::make(family, index << (bits - 20U), 24).value(), 1});
        }
        const client_block_table table(blocks);
        EXPECT_LE(table.memory_bytes(), 32 * blocks.size());
        EXPECT_LE(table.with_changes({}, {}).memory_bytes(), 32 * blocks.size());
    }
}

// A dual-stack socket reports IPv4 callers as IPv4-mapped IPv6 addresses, which must match the IPv4 block.
TEST(client_block_table_test, an_ipv4_mapped_address_matches_its_ipv4_block) {
    const client_block_table table(
        {{prefix("192.0.2.0/24"), 3}, {prefix("2001:db8::/32"), 4}, {prefix("::/0"), 5}});
    EXPECT_EQ(table.find(address("::ffff:192.0.2.9")), 3U);
    EXPECT_EQ(table.find(address("2001:db8:1::9")), 4U);
    EXPECT_EQ(table.find(address("2001:db9::")), 5U);
    EXPECT_EQ(table.find(address("192.0.3.0")), std::nullopt);
}

TEST(client_block_table_test, prefixes_that_cannot_be_matched_as_written_are_rejected) {
    for (const auto* text :
         {"192.0.2.0", "192.0.2.1/24", "192.0.2.0/33", "192.0.2.0/-1", "192.0.2.0/", "/8", "192.0.2/24",
          "2001:db8::/65", "2001:db8::1/64", "2001:db8::/", "::ffff:1.2.3.0/24", "::ffff:0:0/0",
          "192.0.2.0/24 ", "192.0.2.0/024x", "fe80::%1/64", ""}) {
        EXPECT_FALSE(address_prefix::parse(text).has_value()) << text;
    }
    EXPECT_FALSE(address_prefix::parse(std::string_view("10.0.0.0\0/8", 11)).has_value());
    EXPECT_TRUE(address_prefix::parse("0.0.0.0/0").has_value());
    EXPECT_TRUE(address_prefix::parse("2001:db8:0:ff00::/56").has_value());
}

} // namespace
} // namespace carawayway::client_blocks
