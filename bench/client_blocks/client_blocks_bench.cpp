// Benchmarks the client block table at its design size: 1.5 million blocks, a quarter of them IPv6.
#include "carawayway/client_blocks/client_block_table.hpp"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <random>
#include <set>

namespace {

using namespace carawayway::client_blocks;

constexpr std::size_t block_count = 1'500'000;
constexpr std::size_t region_count = 58;
constexpr std::size_t change_count = 2000;
constexpr std::size_t look_up_count =
    1U << 20U; // distinct addresses, so that the cache is not warmed by repeats

address_prefix random_prefix(std::mt19937_64& random) {
    const bool ipv6 = random() % 4 == 0;
    const auto family = ipv6 ? address_family::ipv6 : address_family::ipv4;
    const std::uint8_t bits = key_bits(family);
    const auto length = static_cast<std::uint8_t>(ipv6 ? 32 + random() % 25 : 14 + random() % 15);
    const std::uint64_t key = random() >> (64U - length) << (bits - length);
    return address_prefix::make(family, key, length).value();
}

std::vector<client_block> random_blocks(std::size_t count, std::uint64_t seed) {
    std::mt19937_64 random(seed);
    std::vector<client_block> blocks;
    blocks.reserve(count);
    std::set<address_prefix> prefixes;
    while (prefixes.size() < count) {
        prefixes.insert(random_prefix(random));
    }
    for (const auto& prefix : prefixes) {
        blocks.push_back({prefix, static_cast<region_index>(random() % region_count)});
    }
    std::shuffle(blocks.begin(), blocks.end(), random);
    return blocks;
}

const client_block_table& large_table() {
    static const client_block_table table(random_blocks(block_count, 1));
    return table;
}

// Returns addresses of which half lie in a block of the table and the others are random.
std::vector<client_address> random_addresses() {
    std::mt19937_64 random(2);
    std::vector<client_address> addresses;
    addresses.reserve(look_up_count);
    const auto blocks = large_table().blocks();
    while (addresses.size() < look_up_count) {
        const auto& prefix = blocks[random() % blocks.size()].prefix;
        const bool inside = random() % 2 == 0;
        const std::uint64_t key = inside ? prefix.key() : random();
        if (prefix.family() == address_family::ipv4) {
            addresses.emplace_back(static_cast<std::uint32_t>(key));
            continue;
        }
        ipv6_bytes bytes{};
        for (std::size_t index = 0; index < 8; ++index) {
            bytes[index] = static_cast<std::uint8_t>(key >> (56U - 8U * index));
        }
        addresses.emplace_back(bytes);
    }
    return addresses;
}

void look_up(benchmark::State& state) {
    const auto& table = large_table();
    const auto addresses = random_addresses();
    std::size_t next = 0;
    for (auto _ : state) {
        benchmark::DoNotOptimize(table.find(addresses[next]));
        next = (next + 1) % addresses.size();
    }
    state.counters["blocks"] = static_cast<double>(table.block_count());
    state.counters["bytes_per_block"] =
        static_cast<double>(table.memory_bytes()) / static_cast<double>(table.block_count());
}
BENCHMARK(look_up);

void build(benchmark::State& state) {
    const auto blocks = random_blocks(block_count, 1);
    for (auto _ : state) {
        benchmark::DoNotOptimize(client_block_table(blocks));
    }
}
BENCHMARK(build)->Unit(benchmark::kMillisecond);

void apply_changes(benchmark::State& state) {
    const auto& table = large_table();
    const auto added = random_blocks(change_count, 3);
    std::vector<address_prefix> removed;
    const auto blocks = table.blocks();
    for (std::size_t index = 0; index < change_count; ++index) {
        removed.push_back(blocks[index * (blocks.size() / change_count)].prefix);
    }
    for (auto _ : state) {
        benchmark::DoNotOptimize(table.with_changes(added, removed));
    }
}
BENCHMARK(apply_changes)->Unit(benchmark::kMillisecond);

} // namespace
