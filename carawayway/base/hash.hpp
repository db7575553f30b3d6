// Hashes that are equal on all instances and in all builds, for fingerprints and rendezvous hashing.
#pragma once

#include <cstdint>
#include <string_view>

namespace carawayway::base {

// 64-bit FNV-1a followed by an avalanche step; not resistant to deliberate collisions.
std::uint64_t hash_bytes(std::string_view bytes, std::uint64_t seed = 0);

// Rendezvous (highest random weight) rank of `node` for `key`: the node with the highest rank is
// chosen for the key.
std::uint64_t rendezvous_rank(std::string_view key, std::string_view node);

} // namespace carawayway::base
