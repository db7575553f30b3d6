// Compares digests in constant time, so that the response time does not reveal the length of the token
// either.
#include "carawayway/operators/bearer_token.hpp"

#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace carawayway::operators {

namespace {

constexpr std::string_view scheme = "Bearer ";

} // namespace

bearer_token::digest bearer_token::digest_of(std::string_view text) {
    digest result{};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), result.data());
    return result;
}

bearer_token::bearer_token(std::string_view token)
    : m_presence(token.empty() ? presence::absent : presence::present), m_digest(digest_of(token)) {}

bool bearer_token::accepts(std::string_view authorization) const {
    if (m_presence == presence::absent || !authorization.starts_with(scheme)) {
        return false;
    }
    const auto provided_digest = digest_of(authorization.substr(scheme.size()));
    return CRYPTO_memcmp(provided_digest.data(), m_digest.data(), m_digest.size()) == 0;
}

} // namespace carawayway::operators
