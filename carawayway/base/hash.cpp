// FNV-1a with the finalizer of SplitMix64, which spreads short keys over all bits.
#include "carawayway/base/hash.hpp"

namespace carawayway::base {

namespace {

constexpr std::uint64_t fnv_offset = 14695981039346656037ULL;
constexpr std::uint64_t fnv_prime = 1099511628211ULL;

std::uint64_t mix(std::uint64_t value) {
    value ^= value >> 30U;
    value *= 0xbf58476d1ce4e5b9ULL;
    value ^= value >> 27U;
    value *= 0x94d049bb133111ebULL;
    value ^= value >> 31U;
    return value;
}

} // namespace

std::uint64_t hash_bytes(std::string_view bytes, std::uint64_t seed) {
    std::uint64_t hash = fnv_offset ^ mix(seed);
    for (const char byte : bytes) {
        hash ^= static_cast<unsigned char>(byte);
        hash *= fnv_prime;
    }
    return mix(hash);
}

std::uint64_t rendezvous_rank(std::string_view key, std::string_view node) {
    return hash_bytes(node, hash_bytes(key));
}

} // namespace carawayway::base
