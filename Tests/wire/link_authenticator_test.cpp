// Guards the handshake against peers without the key, replayed or reflected proofs and changed identities.
#include "carawayway/wire/link_authenticator.hpp"

#include <gtest/gtest.h>

namespace carawayway::wire {
namespace {

std::vector<std::byte> key(std::uint8_t fill) {
    return std::vector<std::byte>(32, std::byte{fill});
}

hello make_hello(std::string name) {
    return {std::move(name),  "hki-a",         "uusimaa", 1, link_authenticator::make_nonce(),
            {"127.0.0.1", 1}, {"127.0.0.1", 2}};
}

class link_authenticator_test : public testing::Test {
protected:
    link_authenticator m_authenticator{key(1)};
    hello m_initiator = make_hello("a");
    hello m_acceptor = make_hello("b");
    message_mac m_proof = m_authenticator.prove(link_side::initiator, m_initiator, m_acceptor);
};

TEST_F(link_authenticator_test, accepts_only_a_proof_with_the_same_key) {
    EXPECT_TRUE(m_authenticator.verify(m_proof, link_side::initiator, m_initiator, m_acceptor));
    EXPECT_FALSE(link_authenticator(key(2)).verify(m_proof, link_side::initiator, m_initiator, m_acceptor));
}

TEST_F(link_authenticator_test, a_reflected_proof_is_refused) {
    EXPECT_FALSE(m_authenticator.verify(m_proof, link_side::acceptor, m_initiator, m_acceptor));
    EXPECT_FALSE(m_authenticator.verify(m_proof, link_side::acceptor, m_acceptor, m_initiator));
}

TEST_F(link_authenticator_test, a_proof_is_not_valid_for_another_connection_or_identity) {
    const auto refused = [this](auto change) {
        hello changed = m_initiator;
        change(changed);
        return !m_authenticator.verify(m_proof, link_side::initiator, changed, m_acceptor);
    };
    EXPECT_TRUE(refused([](hello& value) { value.nonce = link_authenticator::make_nonce(); }));
    EXPECT_TRUE(refused([](hello& value) { value.name = "c"; }));
    EXPECT_TRUE(refused([](hello& value) { value.incarnation = 2; }));
    EXPECT_TRUE(refused([](hello& value) { value.failure_domain = "hki-b"; }));
    EXPECT_TRUE(refused([](hello& value) { value.peer_address.port = 3; }));
    // Moving a character between two neighbouring fields must change the input.
    EXPECT_TRUE(refused([](hello& value) {
        value.failure_domain = "hki-auusimaa";
        value.region.clear();
    }));
    hello restarted = m_acceptor;
    restarted.nonce = link_authenticator::make_nonce();
    EXPECT_FALSE(m_authenticator.verify(m_proof, link_side::initiator, m_initiator, restarted));
}

} // namespace
} // namespace carawayway::wire
