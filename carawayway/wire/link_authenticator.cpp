// Text fields are length-prefixed in the input of the HMAC, so that two different pairs of hello messages
// never produce the same input.
#include "carawayway/wire/link_authenticator.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <cassert>
#include <cstdlib>
#include <string>
#include <string_view>

namespace carawayway::wire {

namespace {

void append_integer(std::string& input, std::uint64_t value) {
    for (unsigned shift = 0; shift < 64; shift += 8) {
        input += static_cast<char>((value >> shift) & 0xffU);
    }
}

void append_text(std::string& input, std::string_view text) {
    append_integer(input, text.size());
    input += text;
}

void append_address(std::string& input, const config::socket_address& address) {
    append_text(input, address.host);
    append_integer(input, address.port);
}

void append_hello(std::string& input, const hello& value) {
    append_text(input, value.name);
    append_text(input, value.failure_domain);
    append_text(input, value.region);
    append_integer(input, value.incarnation);
    for (const std::byte byte : value.nonce) {
        input += static_cast<char>(byte);
    }
    append_address(input, value.caller_address);
    append_address(input, value.peer_address);
}

} // namespace

link_authenticator::link_authenticator(std::vector<std::byte> key) : m_key(std::move(key)) {
    assert(!m_key.empty());
}

nonce link_authenticator::make_nonce() {
    nonce value{};
    if (RAND_bytes(reinterpret_cast<unsigned char*>(value.data()), static_cast<int>(value.size())) != 1) {
        std::abort();
    }
    return value;
}

message_mac link_authenticator::prove(link_side side, const hello& initiator, const hello& acceptor) const {
    std::string input;
    append_text(input, side == link_side::initiator ? "carawayway peer link 1 initiator"
                                                    : "carawayway peer link 1 acceptor");
    append_hello(input, initiator);
    append_hello(input, acceptor);
    message_mac mac{};
    unsigned int size = 0;
    const auto* result = HMAC(EVP_sha256(), m_key.data(), static_cast<int>(m_key.size()),
                              reinterpret_cast<const unsigned char*>(input.data()), input.size(),
                              reinterpret_cast<unsigned char*>(mac.data()), &size);
    if (result == nullptr || size != mac.size()) {
        std::abort();
    }
    return mac;
}

bool link_authenticator::verify(const message_mac& mac, link_side side, const hello& initiator,
                                const hello& acceptor) const {
    const message_mac expected = prove(side, initiator, acceptor);
    return CRYPTO_memcmp(mac.data(), expected.data(), expected.size()) == 0;
}

} // namespace carawayway::wire
