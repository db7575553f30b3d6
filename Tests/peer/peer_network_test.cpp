// Tests links between entry instances over loopback sockets: peers with a wrong key, protocol violations,
// slow and restarted peers, and simultaneous connects.
#include "Tests/peer/raw_peer.hpp"
#include "carawayway/peer/peer_network.hpp"
#include "carawayway/wire/message_codec.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <functional>
#include <future>
#include <memory>
#include <thread>

namespace carawayway::peer {
namespace {

using namespace std::chrono_literals;
namespace asio = boost::asio;

std::vector<std::byte> key(std::uint8_t fill = 1) {
    return std::vector<std::byte>(32, std::byte{fill});
}

wire::hello hello_of(const std::string& name, std::uint64_t incarnation = 1, std::uint16_t port = 0) {
    return {name,
            "hki-a",
            "uusimaa",
            incarnation,
            wire::link_authenticator::make_nonce(),
            {"127.0.0.1", 0},
            {"127.0.0.1", port}};
}

network_settings settings_of(const std::string& name, std::uint64_t incarnation = 1, std::uint16_t port = 0) {
    network_settings settings;
    settings.local = hello_of(name, incarnation, port);
    settings.deployment_key = key();
    return settings;
}

// A peer_network that records its events.
struct node {
    node(asio::io_context& context, network_settings settings)
        : network(context.get_executor(), std::move(settings),
                  {[this](const std::string&, const wire::hello& remote) { up.push_back(remote); },
                   [this](const std::string&, const link_loss& loss) { down.push_back(loss); },
                   [this](const std::string& name, wire::received_message&& message) {
                       EXPECT_EQ(message.envelope.sender, name);
                       messages.push_back(std::move(message.message));
                   },
                   [this](const std::string&, connect_failure failure) { failures.push_back(failure); }}) {
        base::failure failure;
        EXPECT_TRUE(network.listen(failure)) << failure.detail;
    }

    peer_target target(const std::string& name) const { return {name, network.listening_address()}; }

    std::vector<wire::hello> up;
    std::vector<link_loss> down;
    std::vector<wire::peer_message> messages;
    std::vector<connect_failure> failures;
    peer_network network;
};

class peer_network_test : public testing::Test {
protected:
    // Runs the event loop until the condition holds. The time limit of the test ends an endless wait.
    void wait_for(const std::function<bool()>& condition) {
        const auto work = asio::make_work_guard(m_context);
        while (!condition()) {
            m_context.run_one();
        }
    }

    std::unique_ptr<node> make(network_settings settings) {
        return std::make_unique<node>(m_context, std::move(settings));
    }

    // Runs a blocking action on another thread while the event loop runs on this one.
    template <class Action>
    auto run_beside_event_loop(Action action) {
        bool finished = false;
        auto result = std::async(std::launch::async, [this, &action, &finished] {
            auto value = action();
            asio::post(m_context, [&finished] { finished = true; });
            return value;
        });
        wait_for([&finished] { return finished; });
        return result.get();
    }

    asio::io_context m_context;
};

TEST_F(peer_network_test, simultaneous_connects_leave_one_link_and_lose_no_message) {
    constexpr std::uint64_t count = 500;
    for (int round = 0; round < 20; ++round) {
        const auto a = make(settings_of("a"));
        const auto b = make(settings_of("b"));
        a->network.set_peers({b->target("b")});
        b->network.set_peers({a->target("a")});
        wait_for([&] { return a->network.linked("b") && b->network.linked("a"); });
        for (std::uint64_t call = 0; call < count; ++call) {
            EXPECT_EQ(a->network.send("b", wire::cancel_request{call}).status, send_status::sent);
            EXPECT_EQ(b->network.send("a", wire::cancel_request{call}).status, send_status::sent);
            m_context.poll_one();
        }
        wait_for([&] { return a->messages.size() == count && b->messages.size() == count; });
        EXPECT_EQ(a->up.size(), 1U);
        EXPECT_EQ(b->up.size(), 1U);
        EXPECT_THAT(a->down, testing::IsEmpty());
        EXPECT_THAT(b->down, testing::IsEmpty());
    }
}

TEST_F(peer_network_test, messages_of_a_link_arrive_in_order_and_are_counted) {
    const auto a = make(settings_of("a"));
    const auto b = make(settings_of("b"));
    a->network.set_peers({b->target("b")});
    wait_for([&] { return a->network.linked("b") && b->network.linked("a"); });
    for (std::uint64_t call = 1; call <= 1000; ++call) {
        ASSERT_EQ(a->network.send("b", wire::cancel_request{call}).status, send_status::sent);
    }
    wait_for([&] { return b->messages.size() == 1000; });
    for (std::uint64_t call = 1; call <= 1000; ++call) {
        ASSERT_EQ(b->messages.at(call - 1), wire::peer_message{wire::cancel_request{call}});
    }
    const std::size_t kind = wire::peer_message{wire::cancel_request{}}.index();
    EXPECT_EQ(a->network.traffic().sent.at(kind).messages, 1000U);
    EXPECT_EQ(a->network.traffic().sent.at(kind), b->network.traffic().received.at(kind));
}

TEST_F(peer_network_test, a_peer_with_another_key_is_refused) {
    auto wrong_key = settings_of("a");
    wrong_key.deployment_key = key(2);
    const auto a = make(std::move(wrong_key));
    const auto b = make(settings_of("b"));
    EXPECT_FALSE(run_beside_event_loop([&] {
        raw_peer raw(hello_of("c"), key(2));
        raw.connect(b->network.listening_address());
        return raw.handshake();
    }));
    a->network.set_peers({b->target("b")});
    b->network.set_peers({a->target("a")});
    const std::size_t proofs = wire::peer_message{wire::hello_proof{}}.index();
    wait_for([&] {
        return a->network.traffic().received.at(proofs).messages >= 2 ||
               b->network.traffic().received.at(proofs).messages >= 3;
    });
    EXPECT_THAT(a->up, testing::IsEmpty());
    EXPECT_THAT(b->up, testing::IsEmpty());
}

TEST_F(peer_network_test, a_recorded_handshake_is_refused_when_it_is_replayed) {
    const auto b = make(settings_of("b"));
    raw_peer first(hello_of("a"), key());
    EXPECT_TRUE(run_beside_event_loop([&] {
        first.connect(b->network.listening_address());
        return first.handshake();
    }));
    wait_for([&] { return b->up.size() == 1; });
    const auto answers = run_beside_event_loop([&] {
        raw_peer replay(hello_of("a"), key());
        replay.connect(b->network.listening_address());
        replay.send_bytes(first.sent());
        int received = 0;
        while (replay.receive().has_value()) {
            ++received;
        }
        return received;
    });
    EXPECT_EQ(answers, 1); // only the hello with a fresh nonce, no proof
    EXPECT_EQ(b->up.size(), 1U);
}

// A way to violate the protocol on an established link.
struct protocol_violation {
    std::string name;
    std::function<void(raw_peer&)> perform;
};

class protocol_violation_test : public peer_network_test,
                                public testing::WithParamInterface<protocol_violation> {};

TEST_P(protocol_violation_test, closes_the_link_with_the_reason) {
    const auto b = make(settings_of("b"));
    EXPECT_TRUE(run_beside_event_loop([&] {
        raw_peer raw(hello_of("a"), key());
        raw.connect(b->network.listening_address());
        const bool established = raw.handshake();
        GetParam().perform(raw);
        return established && !raw.receive().has_value();
    }));
    wait_for([&] { return b->down.size() == 1; });
    EXPECT_EQ(b->down.front().reason, close_reason::malformed);
    EXPECT_FALSE(b->down.front().detail.empty());
    EXPECT_THAT(b->messages, testing::IsEmpty());
}

INSTANTIATE_TEST_SUITE_P(
    kinds, protocol_violation_test,
    testing::Values(
        protocol_violation{"empty_frame", [](raw_peer& raw) { raw.send_frame({}); }},
        protocol_violation{"oversized_frame",
                           [](raw_peer& raw) { raw.send_bytes(std::vector(4, std::byte{0xff})); }},
        protocol_violation{"undecodable_message",
                           [](raw_peer& raw) { raw.send_frame(std::vector(64, std::byte{0x41})); }},
        protocol_violation{"skipped_sequence",
                           [](raw_peer& raw) {
                               raw.set_sequence(9);
                               raw.send(wire::policy_request{});
                           }},
        protocol_violation{"other_sender",
                           [](raw_peer& raw) {
                               raw.set_sender("x");
                               raw.send(wire::policy_request{});
                           }},
        protocol_violation{"second_hello", [](raw_peer& raw) { raw.send(hello_of("a")); }}),
    [](const auto& parameter) { return parameter.param.name; });

TEST_F(peer_network_test, a_slow_peer_fills_the_queue_and_the_first_unsent_message_is_reported) {
    auto settings = settings_of("b");
    settings.limits.queue_messages = 100;
    settings.limits.queue_bytes = 64U << 20U;
    const auto b = make(std::move(settings));
    raw_peer raw(hello_of("a"), key());
    EXPECT_TRUE(run_beside_event_loop([&] {
        raw.connect(b->network.listening_address());
        return raw.handshake();
    }));
    wait_for([&] { return b->network.linked("a"); });
    wire::execute_request large;
    large.request = {"varaus", "", "", "", 1000, "POST", "/", {}, std::string(500000, 'x'), 1};
    std::uint64_t last = 0;
    send_result result;
    // Messages leave the queue while the socket buffers have room.
    while ((result = b->network.send("a", large)).status == send_status::sent) {
        last = result.sequence;
        m_context.poll();
    }
    EXPECT_EQ(result.status, send_status::queue_full);
    b->network.close("a", "test");
    wait_for([&] { return b->down.size() == 1; });
    EXPECT_EQ(b->down.front().link, result.link);
    EXPECT_LE(b->down.front().first_unsent, last);
    EXPECT_EQ(b->network.send("a", large).status, send_status::no_link);
}

TEST_F(peer_network_test, a_message_above_the_frame_limit_is_refused_and_the_link_stays_up) {
    const auto a = make(settings_of("a"));
    const auto b = make(settings_of("b"));
    a->network.set_peers({b->target("b")});
    wait_for([&] { return a->network.linked("b"); });
    EXPECT_EQ(a->network.send("b", wire::policy_document{1, std::string(2U << 20U, 'x')}).status,
              send_status::too_large);
    EXPECT_EQ(a->network.send("b", wire::policy_request{}).status, send_status::sent);
    wait_for([&] { return b->messages.size() == 1; });
}

TEST_F(peer_network_test, failed_attempts_distinguish_a_dead_process_from_a_silent_one) {
    auto settings = settings_of("a");
    settings.limits.handshake_timeout = 50ms;
    const auto a = make(std::move(settings));
    asio::ip::tcp::acceptor silent(m_context, {asio::ip::make_address("127.0.0.1"), 0});
    a->network.set_peers({{"b", {"127.0.0.1", silent.local_endpoint().port()}}});
    wait_for([&] { return !a->failures.empty(); });
    EXPECT_EQ(a->failures.back(), connect_failure::handshake_timed_out);
    silent.close();
    wait_for([&] { return a->failures.back() == connect_failure::refused; });
    EXPECT_THAT(a->up, testing::IsEmpty());
}

// The next attempt to connect then shows whether the peer process is gone.
TEST_F(peer_network_test, a_link_without_traffic_is_closed_as_idle) {
    auto settings = settings_of("a");
    settings.limits.idle_timeout = 50ms;
    const auto a = make(std::move(settings));
    const auto b = make(settings_of("b"));
    a->network.set_peers({b->target("b")});
    wait_for([&] { return a->down.size() == 1; });
    EXPECT_EQ(a->down.front().reason, close_reason::idle);
}

TEST_F(peer_network_test, a_restarted_peer_is_reported_as_another_incarnation) {
    const auto a = make(settings_of("a"));
    auto b = make(settings_of("b", 1));
    const auto address = b->network.listening_address();
    a->network.set_peers({b->target("b")});
    wait_for([&] { return a->up.size() == 1; });
    b.reset();
    wait_for([&] { return a->down.size() == 1 && !a->failures.empty(); });
    EXPECT_EQ(a->failures.back(), connect_failure::refused);
    b = make(settings_of("b", 2, address.port));
    wait_for([&] { return a->up.size() == 2; });
    EXPECT_EQ(a->up.back().incarnation, 2U);
}

TEST_F(peer_network_test, a_new_incarnation_replaces_a_link_that_was_never_closed) {
    const auto b = make(settings_of("b"));
    raw_peer old(hello_of("a", 1), key());
    raw_peer fresh(hello_of("a", 2), key());
    for (auto* raw : {&old, &fresh}) {
        EXPECT_TRUE(run_beside_event_loop([&] {
            raw->connect(b->network.listening_address());
            return raw->handshake();
        }));
    }
    wait_for([&] { return b->up.size() == 2; });
    ASSERT_EQ(b->down.size(), 1U);
    EXPECT_EQ(b->down.front().reason, close_reason::superseded);
    EXPECT_EQ(b->up.back().incarnation, 2U);
}

TEST_F(peer_network_test, a_peer_under_another_name_than_expected_is_refused) {
    const auto a = make(settings_of("a"));
    const auto b = make(settings_of("b"));
    a->network.set_peers({b->target("c")});
    const std::size_t hellos = wire::peer_message{wire::hello{}}.index();
    wait_for([&] { return a->network.traffic().received.at(hellos).messages >= 2; });
    EXPECT_THAT(a->up, testing::IsEmpty());
    EXPECT_THAT(b->up, testing::IsEmpty());
}

TEST_F(peer_network_test, only_ip_addresses_are_accepted) {
    auto settings = settings_of("a");
    settings.local.peer_address.host = "localhost";
    peer_network network(m_context.get_executor(), std::move(settings), {});
    base::failure failure;
    EXPECT_FALSE(network.listen(failure));
    EXPECT_EQ(failure.kind, base::error_kind::settings_invalid);
    const auto b = make(settings_of("b"));
    EXPECT_FALSE(run_beside_event_loop([&] {
        auto hello = hello_of("c");
        hello.caller_address.host = "example";
        raw_peer raw(hello, key());
        raw.connect(b->network.listening_address());
        return raw.handshake();
    }));
}

} // namespace
} // namespace carawayway::peer
