// Finds the client account that an API key belongs to.
#pragma once

#include "carawayway/routing/configuration.hpp"

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace carawayway::accounts {

// The accounts of one configuration. A new configuration gets a new directory, so that added and removed keys
// take effect together.
class account_directory {
public:
    explicit account_directory(std::shared_ptr<const routing::configuration> source);

    // Whether callers need a key.
    bool empty() const { return m_by_name.empty(); }

    // Null for a key that no account has, or more than one.
    const routing::client_account* find_by_key(std::string_view key) const;
    const routing::client_account* find_by_name(std::string_view name) const;

    // Names of accounts that have a key which another account has too. These keys admit nobody, since it is
    // not clear whose they are.
    const std::vector<std::string>& accounts_with_shared_keys() const { return m_accounts_with_shared_keys; }

private:
    // Keys are found by their digest, so that the time of a look-up tells nothing of other keys.
    static constexpr std::size_t digest_bytes = 32;
    using key_digest = std::array<unsigned char, digest_bytes>;

    struct digest_hash {
        std::size_t operator()(const key_digest& digest) const;
    };

    static key_digest digest_of(std::string_view key);
    void add_key(std::string_view key, const routing::client_account& account);

    std::shared_ptr<const routing::configuration> m_source; // the maps below point into it
    std::unordered_map<key_digest, const routing::client_account*, digest_hash> m_by_key; // null: shared
    std::unordered_map<std::string_view, const routing::client_account*> m_by_name;
    std::vector<std::string> m_accounts_with_shared_keys;
};

} // namespace carawayway::accounts
