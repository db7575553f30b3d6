// Computes fingerprints of API keys.
#include "carawayway/routing/key_fingerprint.hpp"

#include <fmt/format.h>
#include <openssl/sha.h>

#include <array>

namespace carawayway::routing {

std::string key_fingerprint(std::string_view key) {
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(), digest.data());
    return fmt::format("{:02x}{:02x}{:02x}{:02x}", digest[0], digest[1], digest[2], digest[3]);
}

} // namespace carawayway::routing
