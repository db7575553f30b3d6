// Names an API key in output without showing it.
#pragma once

#include <string>
#include <string_view>

namespace carawayway::routing {

// The first 8 hexadecimal digits of the SHA-256 digest of the key. 32 bits tell the keys of an account apart,
// and are too few to find a random key from.
std::string key_fingerprint(std::string_view key);

} // namespace carawayway::routing
