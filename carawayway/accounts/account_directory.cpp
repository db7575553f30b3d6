// Indexes accounts by name and by the digests of their keys.
#include "carawayway/accounts/account_directory.hpp"

#include <openssl/sha.h>

#include <cstring>

namespace carawayway::accounts {

account_directory::account_directory(std::shared_ptr<const routing::configuration> source)
    : m_source(std::move(source)) {
    for (const auto& account : m_source->accounts) {
        m_by_name.emplace(account.name, &account);
        for (const auto& key : account.api_keys) {
            add_key(key, account);
        }
    }
}

void account_directory::add_key(std::string_view key, const routing::client_account& account) {
    const auto [known, is_new] = m_by_key.emplace(digest_of(key), &account);
    if (!is_new && known->second != &account) {
        known->second = nullptr;
        m_accounts_with_shared_keys.push_back(account.name);
    }
}

const routing::client_account* account_directory::find_by_key(std::string_view key) const {
    const auto found = m_by_key.find(digest_of(key));
    return found == m_by_key.end() ? nullptr : found->second;
}

const routing::client_account* account_directory::find_by_name(std::string_view name) const {
    const auto found = m_by_name.find(name);
    return found == m_by_name.end() ? nullptr : found->second;
}

account_directory::key_digest account_directory::digest_of(std::string_view key) {
    static_assert(digest_bytes == SHA256_DIGEST_LENGTH);
    key_digest digest{};
    SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(), digest.data());
    return digest;
}

std::size_t account_directory::digest_hash::operator()(const key_digest& digest) const {
    std::size_t hash = 0; // the bytes of a digest are evenly distributed
    std::memcpy(&hash, digest.data(), sizeof hash);
    return hash;
}

} // namespace carawayway::accounts
