// Tests of how a gateway follows the store or a leader during store outages and leader failures.
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
    // One key, and this revision of the store.
    static std::string listing_at(int revision) {
        return R"({"items":[{"key":"a","value":"","rev":12}],"hasMore":false,"currentRev":)" +
               std::to_string(revision) + "}";
    }
    static scripted_answer no_events() { return {store_reaction::answer, R"({"events":[],"currentRev":1})"}; }
    static scripted_answer silence() { return {store_reaction::stay_silent, {}}; }

    // Runs a session against a store that reacts with `on_call`, until stop() is called.
    void run(scripted_store::call_handler on_call, scripted_store::disconnect_handler on_disconnect) {
        scripted_store store(m_context, std::move(on_call), std::move(on_disconnect));
        session tested(
            m_context.get_executor(), store.endpoint(), fleet::gateway_registration{},
            fleet::lease_for(std::chrono::seconds{3}, std::chrono::seconds{1}), m_replica,
            [this](const std::vector<fleet::store_record>& records, removal_certainty certainty) {
                if (m_on_records) {
                    m_on_records(records, certainty);
                }
            },
            [this] { ++m_restores; }, [this] { return m_peers; }, [this] { return m_leader; });
        tested.start();
        m_context.run();
    }
    void stop() { m_context.stop(); }

    session::records_handler m_on_records;
    int m_restores = 0;
    std::vector<boost::asio::ip::tcp::endpoint> m_peers;
    std::optional<boost::asio::ip::tcp::endpoint> m_leader; // the leader to follow
    fleet::store_replica m_replica;
    boost::asio::io_context m_context;
};

// Guards against a long watch that starts during a store outage: it stays unanswered for its full wait, and a
// configuration that the store accepts in between is applied too late.
TEST_F(store_session_test, watches_after_failures_are_short_until_one_is_answered) {
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

// Guards against a watch that stays pending during a store outage while the gateway is not registered:
// without a lease there are no renewals that would detect the outage.
TEST_F(store_session_test, unanswered_lease_grant_aborts_pending_watch) {
    int grants_before_abort = 0;
    std::string aborted_target;
    run(
        [&](const std::string& target) -> scripted_answer {
            if (target.starts_with("/kv-range")) {
                return empty_listing();
            }
            if (!is_watch(target)) {
                ++grants_before_abort;
            }
            return silence();
        },
        [&](const std::string& target) {
            if (is_watch(target)) {
                aborted_target = target;
                stop();
            }
        });
    EXPECT_TRUE(is_long_watch(aborted_target));
    EXPECT_EQ(grants_before_abort, 1);
}

// Guards against a change that is applied too late because the store leaves a watch waiting on history that
// it has dropped: the gateway learns of the change when the wait is over and it has listed the store.
TEST_F(store_session_test, a_watch_that_the_store_leaves_waiting_ends_in_time) {
    // A gateway counts as in contact with a store whose failure ended this long ago.
    constexpr std::chrono::milliseconds time_until_contact{3000};
    constexpr std::chrono::milliseconds time_to_list{500};
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
    const std::chrono::milliseconds wait{std::stoi(watch.substr(watch.rfind('=') + 1))};
    EXPECT_LE(wait + time_to_list, time_until_contact);
}

class unanswerable_watch_test : public store_session_test, public testing::WithParamInterface<std::string> {};

// Guards against a gateway that asks again and again for an answer that it cannot take, and learns of no
// change until the store has dropped its history.
TEST_P(unanswerable_watch_test, lists_the_store_instead_of_watching_again) {
    std::vector<std::string> calls;
    run(
        [&](const std::string& target) -> scripted_answer {
            if (!target.starts_with("/kv-range") && !is_watch(target)) {
                return silence();
            }
            calls.push_back(target.substr(0, target.find('?')));
            if (calls.size() == 3) {
                stop();
            }
            return {store_reaction::answer, is_watch(target) ? GetParam() : listing_at(20)};
        },
        [](const std::string&) {});
    EXPECT_EQ(calls, (std::vector<std::string>{"/kv-range", "/kv-watch", "/kv-range"}));
}

INSTANTIATE_TEST_SUITE_P(answers, unanswerable_watch_test,
                         testing::Values(std::string(9U << 20U, ' '), R"({"events":7,"currentRev":21})",
                                         "no JSON"));

// Guards against a gateway that goes on at a revision of the store which the restored store has not reached,
// so that it learns of no change.
TEST_F(store_session_test, lists_a_restored_store_again_and_resumes_at_its_revision) {
    std::vector<std::string> watches;
    std::size_t listings = 0;
    run(
        [&](const std::string& target) -> scripted_answer {
            const bool is_restored = !watches.empty();
            if (target.starts_with("/kv-range")) {
                ++listings;
                return is_restored ? scripted_answer{store_reaction::answer, listing_at(40), "2"}
                                   : scripted_answer{store_reaction::answer, listing_at(90), "1"};
            }
            if (!is_watch(target)) {
                return silence();
            }
            watches.push_back(target);
            if (watches.size() == 2) {
                stop();
            }
            return {store_reaction::answer, {}, "2", boost::beast::http::status::gone};
        },
        [](const std::string&) {});
    EXPECT_EQ(listings, 2U);
    EXPECT_NE(watches.at(0).find("after=90&"), std::string::npos) << watches.at(0);
    EXPECT_NE(watches.at(1).find("after=40&"), std::string::npos) << watches.at(1);
    EXPECT_EQ(m_replica.revision(), (fleet::store_revision{40, 2}));
    EXPECT_EQ(m_restores, 1);
}

// Guards against a restore that goes unnoticed while a watch waits, and against a listing that mixes pages
// from before and after it.
TEST_F(store_session_test, begins_a_listing_again_when_the_store_is_restored_between_its_pages) {
    std::size_t pages = 0;
    m_on_records = [this](const std::vector<fleet::store_record>& records, removal_certainty) {
        EXPECT_EQ(records.size(), 1U);
        stop();
    };
    run(
        [&](const std::string& target) -> scripted_answer {
            if (!target.starts_with("/kv-range")) {
                return silence();
            }
            return ++pages == 1 ? scripted_answer{store_reaction::answer,
                                                  R"({"items":[{"key":"lost","value":"","rev":80}],)"
                                                  R"("hasMore":true,"currentRev":90})",
                                                  "1"}
                                : scripted_answer{store_reaction::answer, listing_at(40), "2"};
        },
        [](const std::string&) {});
    EXPECT_EQ(m_replica.revision(), (fleet::store_revision{40, 2}));
    EXPECT_EQ(m_replica.all().size(), 1U);
}

// Guards against a gateway that is cut off from the store and refuses what its peers know of the restored
// one.
TEST_F(store_session_test, learns_of_a_restore_from_a_peer_while_the_store_does_not_answer) {
    fleet::store_replica peer_replica;
    peer_replica.replace_all({{"a", "new", fleet::store_revision{30, 2}, false}}, {30, 2});
    replication_server peer(m_context.get_executor(), {boost::asio::ip::address_v4::loopback(), 0},
                            peer_replica, [] { return replication_server::watch_status{}; });
    m_peers = {peer.endpoint()};
    bool is_listed = false;
    m_on_records = [this](const std::vector<fleet::store_record>&, removal_certainty) {
        if (m_replica.revision().era == 2) {
            stop();
        }
    };
    run(
        [&](const std::string& target) -> scripted_answer {
            if (target.starts_with("/kv-range") && !is_listed) {
                is_listed = true;
                return {store_reaction::answer, listing_at(90), "1"};
            }
            return {store_reaction::close, {}};
        },
        [](const std::string&) {});
    EXPECT_EQ(m_replica.revision(), (fleet::store_revision{30, 2}));
    EXPECT_EQ(m_replica.all().at(0).value, "new");
}

// Guards against a registration that is taken for written, because the store was restored before it answered
// the transaction.
TEST_F(store_session_test, registers_again_after_a_transaction_that_a_restore_left_unanswered) {
    int transactions = 0;
    int grants = 0;
    run(
        [&](const std::string& target) -> scripted_answer {
            const std::string era = transactions == 0 ? "1" : "2";
            if (target.starts_with("/kv-range")) {
                return {store_reaction::answer, listing_at(20), era};
            }
            if (target == "/kv-lease") {
                ++grants;
                return {store_reaction::answer, R"({"lease":5,"ttlMs":3500})", era};
            }
            if (target == "/kv-txn" && ++transactions == 1) {
                return {store_reaction::close, {}};
            }
            if (target == "/kv-txn") {
                stop();
            }
            return silence();
        },
        [](const std::string&) {});
    EXPECT_EQ(transactions, 2);
    EXPECT_EQ(grants, 2) << "the lease of the first one may be lost";
}

// Guards against a cut between failure domains of which one has not heard of the restore: what it knows of
// the earlier era must not undo what is known of the later one.
TEST_F(store_session_test, ignores_a_peer_that_still_knows_the_earlier_era) {
    fleet::store_replica peer_replica;
    peer_replica.replace_all({{"a", "old", fleet::store_revision{90, 1}, false},
                              {"gone", "old", fleet::store_revision{91, 1}, false}},
                             {91, 1});
    int asked = 0;
    replication_server peer(m_context.get_executor(), {boost::asio::ip::address_v4::loopback(), 0},
                            peer_replica, [&] {
                                if (++asked == 3) {
                                    stop();
                                }
                                return replication_server::watch_status{};
                            });
    m_peers = {peer.endpoint()};
    bool is_listed = false;
    run(
        [&](const std::string& target) -> scripted_answer {
            if (target.starts_with("/kv-range") && !is_listed) {
                is_listed = true;
                return {store_reaction::answer, listing_at(20), "2"};
            }
            return {store_reaction::close, {}};
        },
        [](const std::string&) {});
    EXPECT_EQ(m_replica.revision(), (fleet::store_revision{20, 2}));
    ASSERT_EQ(m_replica.all().size(), 1U);
    EXPECT_EQ(m_replica.all().at(0).value, "");
}

class store_session_follow_test : public store_session_test {
protected:
    // Starts another gateway as the leader; it has newer records than the store has sent.
    store_session_follow_test()
        : m_replication_server(m_context.get_executor(), {boost::asio::ip::address_v4::loopback(), 0},
                               m_leader_replica, [this] { return m_watch_status; }) {
        m_leader_replica.advance(1);
        m_leader = m_replication_server.endpoint();
        m_on_records = [this](const std::vector<fleet::store_record>& records, removal_certainty certainty) {
            if (!records.empty()) {
                m_certainty = certainty;
                stop();
            }
        };
    }

    // The certainty that the session assigns to removals in the leader's change.
    std::optional<removal_certainty> certainty_of_change() {
        run(
            [&](const std::string& target) -> scripted_answer {
                return target.starts_with("/kv-range") ? empty_listing() : silence();
            },
            [](const std::string&) {});
        return m_certainty;
    }

    // Runs the session until it has watched the store twice; returns the targets of the watches.
    std::vector<std::string> first_two_watches() {
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
                if (watches.size() == 2) {
                    stop();
                }
                return no_events();
            },
            [](const std::string&) {});
        return watches;
    }

    void add_change() {
        m_leader_replica.apply({"op/config", "new", 2, false});
        m_leader_replica.advance(2);
        m_replication_server.notify();
    }

    fleet::store_replica m_leader_replica;
    replication_server::watch_status m_watch_status{true, std::chrono::seconds{60}};
    replication_server m_replication_server;
    std::optional<removal_certainty> m_certainty; // of the change
};

// Guards against a load on the store that grows with the number of gateways.
TEST_F(store_session_follow_test, follower_does_not_watch_the_store) {
    int watches = 0;
    boost::asio::steady_timer change_timer(m_context);
    change_timer.expires_after(std::chrono::milliseconds{100});
    change_timer.async_wait([this](boost::system::error_code) { add_change(); });
    m_on_records = [&](const std::vector<fleet::store_record>& records, removal_certainty) {
        if (!records.empty() && records.front().revision == fleet::store_revision{2}) {
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
    EXPECT_EQ(m_replica.revision(), fleet::store_revision{2});
    EXPECT_EQ(watches, 0);
}

// Guards against a gateway that gets no changes because its leader has lost contact with the store, and
// against a long watch that begins while the store drops its history: it is neither answered nor cut, and an
// evacuation or a configuration that the store has accepted is applied after the full wait.
TEST_F(store_session_follow_test, watches_the_store_when_the_leader_does_not_with_a_short_watch_first) {
    m_watch_status.watches_store = false;
    const auto watches = first_two_watches();
    EXPECT_FALSE(is_long_watch(watches.at(0)));
    EXPECT_TRUE(is_long_watch(watches.at(1)));
}

// Guards against a gateway that gets no changes because its leader has not noticed that the store was
// restored.
TEST_F(store_session_follow_test, watches_the_store_when_the_leader_is_of_an_earlier_era) {
    m_on_records = nullptr;
    bool has_watched = false;
    run(
        [&](const std::string& target) -> scripted_answer {
            if (target.starts_with("/kv-range")) {
                return {store_reaction::answer, listing_at(1), "3"};
            }
            if (is_watch(target)) {
                has_watched = true;
                stop();
            }
            return silence();
        },
        [](const std::string&) {});
    EXPECT_TRUE(has_watched);
}

// Guards against a gateway that takes events of a restored store for the whole difference, and then drops all
// that it knows from before: it learned of the new era by its lease while it still followed the leader.
TEST_F(store_session_follow_test, lists_a_restored_store_before_it_uses_events_of_the_new_era) {
    m_on_records = nullptr;
    m_leader_replica.advance(fleet::store_revision{90, 1});
    std::size_t listings = 0;
    bool is_restored = false;
    run(
        [&](const std::string& target) -> scripted_answer {
            const std::string era = is_restored ? "2" : "1";
            if (target.starts_with("/kv-range")) {
                ++listings;
                if (is_restored) {
                    stop();
                }
                return {store_reaction::answer, listing_at(is_restored ? 40 : 90), era};
            }
            if (is_watch(target)) {
                return {store_reaction::answer, R"({"events":[],"currentRev":50})", era};
            }
            if (target.starts_with("/kv-keep")) {
                // The leader no longer watches the store, which the gateway learns after this answer.
                is_restored = true;
                m_watch_status.watches_store = false;
                return {store_reaction::answer, R"({"ttlMs":3500})", "2"};
            }
            return {store_reaction::answer, R"({"lease":7,"ttlMs":3500,"rev":91})", era};
        },
        [](const std::string&) {});
    EXPECT_EQ(listings, 2U);
    EXPECT_EQ(m_replica.revision(), (fleet::store_revision{90, 1}));
}

// Guards against a gateway that gets no changes because its leader hangs.
TEST_F(store_session_follow_test, watches_the_store_when_the_leader_hangs) {
    boost::asio::ip::tcp::acceptor silent(m_context, {boost::asio::ip::address_v4::loopback(), 0});
    m_leader = silent.local_endpoint();
    EXPECT_TRUE(is_long_watch(first_two_watches().at(0)));
}

// Guards against removing live servers: during a store outage that only the leader noticed, their
// registrations may have expired.
TEST_F(store_session_follow_test, recent_store_failure_of_leader_leaves_removals_unconfirmed) {
    m_watch_status.time_since_failure = std::chrono::milliseconds{500};
    add_change();
    EXPECT_EQ(certainty_of_change(), removal_certainty::unconfirmed);
}

// Guards against a follower that treats removals as unconfirmed for longer than its leader: the time since
// the leader's last store failure counts, and not the time since the follower learned of it.
TEST_F(store_session_follow_test, settled_leader_confirms_removals) {
    m_watch_status.time_since_failure = fleet::store_health::settling_time + std::chrono::milliseconds{100};
    add_change();
    EXPECT_EQ(certainty_of_change(), removal_certainty::confirmed);
}

// Guards against a gateway that is partitioned from the store and keeps sending to a server that left,
// although a peer with stable contact to the store has reported the removal. Seen with the fault node_cut: a
// request reached a server 12 s after the server had announced that it leaves.
TEST_F(store_session_follow_test, peer_with_stable_store_contact_confirms_removals) {
    m_peers.push_back(*m_leader);
    m_leader.reset();
    add_change();
    run(
        [&](const std::string& target) -> scripted_answer {
            return target.starts_with("/kv-range") ? empty_listing()
                                                   : scripted_answer{store_reaction::close, {}};
        },
        [](const std::string&) {});
    EXPECT_EQ(m_certainty, removal_certainty::confirmed);
}

} // namespace
} // namespace carawayway::gateway
