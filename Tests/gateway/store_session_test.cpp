// How a gateway follows the store when the store falls silent and returns.
#include "Tests/gateway/scripted_store.hpp"
#include "carawayway/gateway/store_session.hpp"
#include "platform/protocol.hpp"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <algorithm>

namespace carawayway::gateway {
namespace {

class store_session_test : public testing::Test {
protected:
    using session = store_session<platform::protocol>;

    static bool is_watch(const std::string& target) { return target.starts_with("/kv-watch"); }
    static bool is_long_watch(const std::string& target) {
        return is_watch(target) &&
               target.ends_with("waitMs=" + std::to_string(base::to_milliseconds(session::watch_wait)));
    }

    static scripted_answer empty_listing() {
        return {store_reaction::answer, R"({"items":[],"hasMore":false,"currentRev":1})"};
    }
    static scripted_answer no_events() { return {store_reaction::answer, R"({"events":[],"currentRev":1})"}; }
    static scripted_answer silence() { return {store_reaction::stay_silent, {}}; }

    // Runs a session against a store that answers with `on_call` until `stop` is called.
    void run(scripted_store::call_handler on_call, scripted_store::end_handler on_end) {
        scripted_store store(m_context, std::move(on_call), std::move(on_end));
        session followed(
            m_context.get_executor(), store.endpoint(), fleet::gateway_registration{},
            session::lease_lifetime, m_facts,
            [this](const std::vector<fleet::store_record>& facts, removal_trust trust) {
                if (m_on_facts) {
                    m_on_facts(facts, trust);
                }
            },
            [this] { return m_peers; }, [this] { return m_leader; });
        followed.start();
        m_context.run();
    }
    void stop() { m_context.stop(); }

    session::facts_handler m_on_facts;
    std::vector<boost::asio::ip::tcp::endpoint> m_peers;
    std::optional<boost::asio::ip::tcp::endpoint> m_leader; // that the session is to follow
    fleet::store_replica m_facts;
    boost::asio::io_context m_context;
};

// Guards against a long watch that begins while the store is silent: it stays unanswered for its whole time,
// and a configuration acknowledged in between comes into force too late.
TEST_F(store_session_test, watches_after_trouble_are_short_until_one_is_answered) {
    std::vector<std::string> watches;
    run(
        [&](const std::string& target) -> scripted_answer {
            if (target.starts_with("/kv-range")) {
                return empty_listing();
            }
            if (!is_watch(target)) {
                return silence();
            }
            watches.push_back(target);
            if (watches.size() <= 2) {
                return {store_reaction::close, {}};
            }
            if (watches.size() == 4) {
                stop();
            }
            return no_events();
        },
        [](const std::string&) {});
    ASSERT_EQ(watches.size(), 4U);
    EXPECT_TRUE(is_long_watch(watches[0]));
    EXPECT_FALSE(is_long_watch(watches[1]));
    EXPECT_FALSE(is_long_watch(watches[2]));
    EXPECT_TRUE(is_long_watch(watches[3]));
}

// Guards against a watch that outlives a silent store while the gateway has no entry: no renewal runs that
// would notice the silence.
TEST_F(store_session_test, an_unanswered_grant_ends_the_waiting_watch) {
    int grants_before_end = 0;
    std::string ended;
    run(
        [&](const std::string& target) -> scripted_answer {
            if (target.starts_with("/kv-range")) {
                return empty_listing();
            }
            if (!is_watch(target)) {
                ++grants_before_end;
            }
            return silence();
        },
        [&](const std::string& target) {
            if (is_watch(target)) {
                ended = target;
                stop();
            }
        });
    EXPECT_TRUE(is_long_watch(ended));
    EXPECT_EQ(grants_before_end, 1);
}

class store_session_follow_test : public store_session_test {
protected:
    // Another gateway that knows more than the store has told this one.
    store_session_follow_test()
        : m_relay(m_context.get_executor(), {boost::asio::ip::address_v4::loopback(), 0}, m_leader_facts,
                  [this] { return m_view; }) {
        m_leader_facts.advance(1);
        m_leader = m_relay.endpoint();
        m_on_facts = [this](const std::vector<fleet::store_record>& facts, removal_trust trust) {
            if (!facts.empty()) {
                m_trust = trust;
                stop();
            }
        };
    }

    // How far the session believes the news that it hears from its leader.
    std::optional<removal_trust> trust_in_news() {
        run(
            [&](const std::string& target) -> scripted_answer {
                return target.starts_with("/kv-range") ? empty_listing() : silence();
            },
            [](const std::string&) {});
        return m_trust;
    }

    // The first watch of the store; the session runs until it makes one.
    std::string first_watch() {
        std::string watch;
        run(
            [&](const std::string& target) -> scripted_answer {
                if (target.starts_with("/kv-range")) {
                    return empty_listing();
                }
                if (is_watch(target)) {
                    watch = target;
                    stop();
                }
                return silence();
            },
            [](const std::string&) {});
        return watch;
    }

    void add_news() {
        m_leader_facts.apply({"op/config", "new", 2, false});
        m_leader_facts.advance(2);
        m_relay.notify();
    }

    fleet::store_replica m_leader_facts;
    fact_relay_server::store_view m_view{true, std::chrono::seconds{60}};
    fact_relay_server m_relay;
    std::optional<removal_trust> m_trust; // of the news
};

// Guards against calls to the store that grow with the number of gateways.
TEST_F(store_session_follow_test, a_gateway_that_follows_does_not_watch_the_store) {
    int watches = 0;
    boost::asio::steady_timer news(m_context);
    news.expires_after(std::chrono::milliseconds{100});
    news.async_wait([this](boost::system::error_code) { add_news(); });
    m_on_facts = [&](const std::vector<fleet::store_record>& facts, removal_trust) {
        if (!facts.empty() && facts.front().revision == 2) {
            stop();
        }
    };
    run(
        [&](const std::string& target) -> scripted_answer {
            if (target.starts_with("/kv-range")) {
                return empty_listing();
            }
            watches += is_watch(target) ? 1 : 0;
            return silence();
        },
        [](const std::string&) {});
    EXPECT_EQ(m_facts.revision(), 2);
    EXPECT_EQ(watches, 0);
}

// Guards against a gateway that learns nothing because the one it follows has lost the store.
TEST_F(store_session_follow_test, watches_the_store_when_the_leader_does_not) {
    m_view.watches_store = false;
    EXPECT_TRUE(is_long_watch(first_watch()));
}

// Guards against a gateway that learns nothing because the one it follows stands still.
TEST_F(store_session_follow_test, watches_the_store_when_the_leader_is_silent) {
    boost::asio::ip::tcp::acceptor silent(m_context, {boost::asio::ip::address_v4::loopback(), 0});
    m_leader = silent.local_endpoint();
    EXPECT_TRUE(is_long_watch(first_watch()));
}

// Guards against servers that are taken for dead because the leader saw their entries expire in an outage
// that this gateway did not notice.
TEST_F(store_session_follow_test, trouble_of_the_leader_counts_as_its_own) {
    m_view.undisturbed = std::chrono::milliseconds{500};
    add_news();
    EXPECT_EQ(trust_in_news(), removal_trust::uncertain);
}

// Guards against removals that a follower doubts for longer than its leader: the time since the leader's last
// trouble counts, not the time since it was heard.
TEST_F(store_session_follow_test, old_trouble_of_the_leader_is_over) {
    m_view.undisturbed = fleet::store_health::settling_time + std::chrono::milliseconds{100};
    add_news();
    EXPECT_EQ(trust_in_news(), removal_trust::certain);
}

// Guards against a gateway that is cut off from the store and sends to a server that left, although a peer
// that sees the store well has told it of the removal. Days with node_cut played this: a request reached a
// server 12 s after it had said that it leaves.
TEST_F(store_session_follow_test, a_peer_that_sees_the_store_well_vouches_for_removals) {
    m_peers.push_back(*m_leader);
    m_leader.reset();
    add_news();
    run(
        [&](const std::string& target) -> scripted_answer {
            return target.starts_with("/kv-range") ? empty_listing()
                                                   : scripted_answer{store_reaction::close, {}};
        },
        [](const std::string&) {});
    EXPECT_EQ(m_trust, removal_trust::certain);
}

} // namespace
} // namespace carawayway::gateway
