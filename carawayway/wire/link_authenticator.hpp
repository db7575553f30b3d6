// Mutual authentication on a peer link: both sides prove that they know the deployment key with an
// HMAC-SHA256 over both hello messages and the side that sends the proof.
#pragma once

#include "carawayway/wire/messages.hpp"

#include <cstddef>
#include <span>
#include <vector>

namespace carawayway::wire {

// Which side of the connection a proof comes from. A proof of one side is never valid for the other.
enum class link_side : std::uint8_t { initiator, acceptor };

class link_authenticator {
public:
    // `key` is the secret shared by all entry instances of a deployment; it must not be empty.
    explicit link_authenticator(std::vector<std::byte> key);

    // Returns a new random nonce. Aborts the process if the random generator fails.
    static nonce make_nonce();

    // Returns the proof that `side` sends after both hello messages were exchanged. It covers both nonces,
    // names, failure domains, regions, incarnations and addresses, so that it cannot be replayed on another
    // connection.
    message_mac prove(link_side side, const hello& initiator, const hello& acceptor) const;

    // Compares in constant time.
    bool verify(const message_mac& mac, link_side side, const hello& initiator, const hello& acceptor) const;

private:
    std::vector<std::byte> m_key;
};

} // namespace carawayway::wire
